//! Routes and limits as peers send them.

use std::time::Duration;

use sequoiagw_protocol::LimitsRecord;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RouteRecord;
use sequoiagw_protocol::WeightedServiceRecord;
use thiserror::Error;

use crate::CallerLimits;
use crate::MeshRoute;
use crate::RoutePart;

/// Why a delta wasn't taken; nothing of it is in force then.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DeltaError {
    /// It applies to a version that isn't held here; ask for one that leads from `held`.
    #[error("the delta applies to version {base}, and version {held} is held")]
    OtherBase {
        /// Version that it applies to.
        base: u64,
        /// Version held.
        held: u64,
    },
    /// What it produces isn't what its sender had; read the version from the store.
    #[error("version {number} as produced here isn't what its sender had")]
    OtherContent {
        /// Version that it leads to.
        number: u64,
    },
}

impl From<&MeshRoute> for RouteRecord {
    fn from(route: &MeshRoute) -> Self {
        let part = |part: &RoutePart| WeightedServiceRecord {
            service: part.service.clone(),
            weight: part.weight,
        };
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            services: route.parts.iter().map(part).collect(),
            idempotent: route.idempotent,
            timeout_us: micros(route.timeout),
            latency_target_us: micros(route.aim),
            level: u32::from(route.level.get()),
            max_attempts: route.max_attempts,
        }
    }
}

impl From<&RouteRecord> for MeshRoute {
    fn from(record: &RouteRecord) -> Self {
        let part = |part: &WeightedServiceRecord| RoutePart {
            service: part.service.clone(),
            weight: part.weight,
        };
        Self {
            name: record.name.clone(),
            host: record.host.clone(),
            prefix: record.prefix.clone(),
            parts: record.services.iter().map(part).collect(),
            idempotent: record.idempotent,
            timeout: Duration::from_micros(record.timeout_us),
            aim: Duration::from_micros(record.latency_target_us),
            level: RankLevel::new(record.level.min(u32::from(u8::MAX)) as u8),
            max_attempts: record.max_attempts,
        }
    }
}

impl From<&CallerLimits> for LimitsRecord {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            max_header_bytes: limits.head_bytes as u64,
            max_body_bytes: limits.body_bytes,
            header_timeout_us: micros(limits.head_time),
            idle_timeout_us: micros(limits.idle_time),
        }
    }
}

impl From<&LimitsRecord> for CallerLimits {
    fn from(record: &LimitsRecord) -> Self {
        Self {
            head_bytes: record.max_header_bytes as usize,
            body_bytes: record.max_body_bytes,
            head_time: Duration::from_micros(record.header_timeout_us),
            idle_time: Duration::from_micros(record.idle_timeout_us),
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
