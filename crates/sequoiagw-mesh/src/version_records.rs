//! Conversion of routes and limits to and from the messages that peers exchange.

use std::time::Duration;

use sequoiagw_protocol::LimitsRecord;
use sequoiagw_protocol::RankLevel;
use sequoiagw_protocol::RouteRecord;
use sequoiagw_protocol::WeightedServiceRecord;
use thiserror::Error;

use crate::CallerLimits;
use crate::MeshRoute;
use crate::WeightedService;

/// Reason why a version delta was refused; the active version is unchanged then.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DeltaError {
    /// The delta applies to another version than the active one; request a delta from `active`.
    #[error("version delta applies to version {base}, but the active version is {active}")]
    BaseMismatch {
        /// Version that the delta applies to, 0 for none.
        base: u64,
        /// Active version, 0 for none.
        active: u64,
    },
    /// The digest of the result differs from the sender's; read the version from the store.
    #[error("digest of version {number} differs from the sender's after applying the delta")]
    DigestMismatch {
        /// Version that the delta produces.
        number: u64,
    },
}

impl From<&MeshRoute> for RouteRecord {
    fn from(route: &MeshRoute) -> Self {
        let to_record = |service: &WeightedService| WeightedServiceRecord {
            service: service.service.clone(),
            weight: service.weight,
        };
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            services: route.services.iter().map(to_record).collect(),
            idempotent: route.idempotent,
            timeout_us: whole_micros(route.timeout),
            latency_target_us: whole_micros(route.latency_target),
            level: u32::from(route.level.get()),
            max_attempts: route.max_attempts,
            public: route.public,
        }
    }
}

impl From<&RouteRecord> for MeshRoute {
    fn from(record: &RouteRecord) -> Self {
        let from_record = |weighted: &WeightedServiceRecord| WeightedService {
            service: weighted.service.clone(),
            weight: weighted.weight,
        };
        Self {
            name: record.name.clone(),
            host: record.host.clone(),
            prefix: record.prefix.clone(),
            services: record.services.iter().map(from_record).collect(),
            idempotent: record.idempotent,
            timeout: Duration::from_micros(record.timeout_us),
            latency_target: Duration::from_micros(record.latency_target_us),
            level: RankLevel::new(record.level.min(u32::from(u8::MAX)) as u8),
            max_attempts: record.max_attempts,
            public: record.public,
        }
    }
}

impl From<&CallerLimits> for LimitsRecord {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            max_header_bytes: limits.max_header_bytes as u64,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_us: whole_micros(limits.header_timeout),
            idle_timeout_us: whole_micros(limits.idle_timeout),
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

fn whole_micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}
