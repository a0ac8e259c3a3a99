//! What decides the choice of a call's target.

use std::time::Duration;

use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::RankLevel;

use crate::PlacementRule;

/// Properties of a call that decide the choice of its target.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Route.
    pub route: &'a str,
    /// Rank level.
    pub level: RankLevel,
    /// Nodes that must not be chosen, because the call has tried them.
    pub excluded: &'a [NodeId],
    /// Load per slot of the local target above which remote ones are considered.
    pub spill_load: f64,
    /// Whether the call is refused without a dispatch if recent load reports say that no queue has
    /// room for it. [`PlacementRule::Fastest`] always refuses such a call.
    pub refuse_early: bool,
    /// Rule by which the target is chosen.
    pub placement_rule: PlacementRule,
    /// Time by which a remote target must be expected to answer sooner than a local one.
    pub remote_penalty: Duration,
    /// Expected time to a local answer up to which no remote target is considered.
    pub acceptable_local_latency: Duration,
    /// Whether the body is sent in parts, behind those that the target's host has to receive.
    pub large_body: bool,
    /// Time left of the call's latency target.
    pub remaining_latency_target: Duration,
}
