//! What operators are shown of a node and of its members.

use std::collections::BTreeMap;

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::NodeCore;
use crate::NodeCounters;

/// One member as this node knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberView {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// State.
    pub state: String,
    /// Address for inner links.
    pub address: String,
    /// Service, empty when none is announced.
    pub service: String,
    /// Slots announced.
    pub slots: u32,
    /// Seat as a watch holder.
    pub seat: Option<u32>,
    /// Version it refuses to take.
    pub refused_version: Option<u64>,
}

/// Status of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it takes callers' requests.
    pub ready: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Version in force.
    pub version: u64,
    /// Newest version held.
    pub held_version: u64,
    /// Time of acceptance of the version in force, Unix milliseconds.
    pub accepted_ms: u64,
    /// Slots in use, slots allowed and calls waiting at its target.
    pub load: [u32; 3],
    /// Members.
    pub members: Vec<MemberView>,
    /// Seconds since each other data centre was heard; known at bridges only.
    pub heard_s: BTreeMap<String, u64>,
    /// Counters.
    pub counters: BTreeMap<String, u64>,
}

impl NodeStatus {
    /// Reads a node's status.
    pub(crate) fn of(core: &NodeCore, counters: &NodeCounters, now: Instant) -> Self {
        let load = core.load(now);
        let heard = core.last_contact_by_data_centre().iter();
        Self {
            name: core.identity().name.clone(),
            data_centre: core.identity().data_centre.clone(),
            ready: core.is_ready(),
            draining: core.is_draining(),
            version: core.snapshot().map_or(0, |snapshot| snapshot.version),
            held_version: core.held_version(),
            accepted_ms: core.snapshot().map_or(0, |snapshot| snapshot.accepted_ms),
            load: [load.running, load.slots, load.waiting],
            members: core.members().records().map(member_view).collect(),
            heard_s: heard
                .map(|(centre, time)| (centre.clone(), (now - *time).as_secs()))
                .collect(),
            counters: counters.totals(),
        }
    }
}

fn member_view(record: &MemberRecord) -> MemberView {
    MemberView {
        name: record.name.clone(),
        data_centre: record.data_centre.clone(),
        state: state_name(record.state()).to_owned(),
        address: record.address.clone(),
        service: record.service.clone(),
        slots: record.slots,
        seat: record.seat.checked_sub(1),
        refused_version: (record.refused_version > 0).then_some(record.refused_version),
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Joining => "joining",
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Suspect => "suspect",
        MemberState::Lost => "lost",
        MemberState::Left => "left",
    }
}
