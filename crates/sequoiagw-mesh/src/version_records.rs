//! Routes and limits as peers send them.

use std::time::Duration;

use sequoiagw_protocol::LimitsRecord;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RouteRecord;
use sequoiagw_protocol::WeightedServiceRecord;
use thiserror::Error;

use crate::CallerLimits;
use crate::MeshRoute;
use crate::WeightedService;

/// Why a delta wasn't taken; nothing of it is in force then.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DeltaError {
    /// It applies to a version that isn't held here; ask for one that leads from `held`.
    #[error("the delta applies to version {base}, and version {held} is held")]
    BaseMismatch {
        /// Version that it applies to.
        base: u64,
        /// Version held.
        held: u64,
    },
    /// What it produces isn't what its sender had; read the version from the store.
    #[error("version {number} as produced here isn't what its sender had")]
    DigestMismatch {
        /// Version that it leads to.
        number: u64,
    },
}

impl From<&MeshRoute> for RouteRecord {
    fn from(route: &MeshRoute) -> Self {
        let part = |part: &WeightedService| WeightedServiceRecord {
            service: part.service.clone(),
            weight: part.weight,
        };
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            services: route.services.iter().map(part).collect(),
            idempotent: route.idempotent,
            timeout_us: micros(route.timeout),
            latency_target_us: micros(route.latency_target),
            level: u32::from(route.level.get()),
            max_attempts: route.max_attempts,
        }
    }
}

impl From<&RouteRecord> for MeshRoute {
    fn from(record: &RouteRecord) -> Self {
        let part = |part: &WeightedServiceRecord| WeightedService {
            service: part.service.clone(),
            weight: part.weight,
        };
        Self {
            name: record.name.clone(),
            host: record.host.clone(),
            prefix: record.prefix.clone(),
            services: record.services.iter().map(part).collect(),
            idempotent: record.idempotent,
            timeout: Duration::from_micros(record.timeout_us),
            latency_target: Duration::from_micros(record.latency_target_us),
            level: RankLevel::new(record.level.min(u32::from(u8::MAX)) as u8),
            max_attempts: record.max_attempts,
        }
    }
}

impl From<&CallerLimits> for LimitsRecord {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            max_header_bytes: limits.max_header_bytes as u64,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_us: micros(limits.header_timeout),
            idle_timeout_us: micros(limits.idle_timeout),
        }
    }
}

impl From<&LimitsRecord> for CallerLimits {
    fn from(record: &LimitsRecord) -> Self {
        Self {
            max_header_bytes: record.max_header_bytes as usize,
            max_body_bytes: record.max_body_bytes,
            header_timeout: Duration::from_micros(record.header_timeout_us),
            idle_timeout: Duration::from_micros(record.idle_timeout_us),
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
