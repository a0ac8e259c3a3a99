//! Target of a new version that gets a small share of a service's calls.

use crate::TargetInfo;

/// Target that gets a share of a service's calls while the other targets get the rest.
#[derive(Clone, Debug, PartialEq)]
pub struct CanaryTarget {
    /// The target.
    pub target: TargetInfo,
    /// Share of the service's calls, 0 to 1.
    pub share: f64,
}
