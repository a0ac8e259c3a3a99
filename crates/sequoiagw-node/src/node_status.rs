//! Status of a node and of its members, as shown to operators.

use std::collections::BTreeMap;

use sequoiagw_policy::HeldRequest;
use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::NodeCore;
use crate::NodeCounters;

/// Status of one member, as recorded in this node's member table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Data centre of the member.
    pub data_centre: String,
    /// State in the member table, in lower case.
    pub state: String,
    /// Address at which the member accepts links from other nodes.
    pub address: String,
    /// Service of the member's backend server; empty if none is announced.
    pub service: String,
    /// Slots of the member's backend server; 0 if none is announced.
    pub slots: u32,
    /// Watch holder seat that the member occupies.
    pub seat: Option<u32>,
    /// Configuration version that the member refused as invalid.
    pub refused_version: Option<u64>,
}

/// A request that a node holds back, because it crashed several backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldRequestStatus {
    /// Digest of the request, as in the logs.
    pub digest: String,
    /// Processes of backend servers that it crashed, as in the logs.
    pub servers: Vec<String>,
    /// Seconds since this node holds it back.
    pub held_s: u64,
}

/// Status of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// Name of the node.
    pub name: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Whether it accepts requests from callers.
    pub ready: bool,
    /// Whether it is draining or has stopped.
    pub draining: bool,
    /// Active configuration version; 0 without one.
    pub version: u64,
    /// Newest configuration version that the node holds, active or not; 0 without one.
    pub held_version: u64,
    /// Time at which the active version was accepted, in Unix milliseconds; 0 without one.
    pub accepted_ms: u64,
    /// Slots in use, usable slots and waiting calls at the node's target.
    pub load: [u32; 3],
    /// Known members, this node included.
    pub members: Vec<MemberStatus>,
    /// Seconds since the last contact with each remote data centre; only bridges have it.
    pub heard_s: BTreeMap<String, u64>,
    /// Requests that are held back.
    #[serde(default)]
    pub held_requests: Vec<HeldRequestStatus>,
    /// Totals of the node's counters.
    pub counters: BTreeMap<String, u64>,
}

impl NodeStatus {
    /// Collects the status of a node.
    pub(crate) fn of(core: &NodeCore, counters: &NodeCounters, now: Instant) -> Self {
        let load = core.load(now);
        let last_contacts = core.last_contact_by_data_centre().iter();
        Self {
            name: core.identity().name.clone(),
            data_centre: core.identity().data_centre.clone(),
            ready: core.is_ready(),
            draining: core.is_draining(),
            version: core.active_config().map_or(0, |config| config.version),
            held_version: core.held_version(),
            accepted_ms: core.active_config().map_or(0, |config| config.accepted_ms),
            load: [load.running, load.slots, load.waiting],
            members: core.members().records().map(member_status).collect(),
            heard_s: last_contacts
                .map(|(data_centre, time)| (data_centre.clone(), (now - *time).as_secs()))
                .collect(),
            held_requests: core.held_requests(now).iter().map(held_status).collect(),
            counters: counters.totals(),
        }
    }
}

fn held_status(held: &HeldRequest) -> HeldRequestStatus {
    HeldRequestStatus {
        digest: held.digest.to_string(),
        servers: held.servers.iter().map(ToString::to_string).collect(),
        held_s: held.held_for.as_secs(),
    }
}

fn member_status(record: &MemberRecord) -> MemberStatus {
    MemberStatus {
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
