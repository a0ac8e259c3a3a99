//! Active configuration versions in each data centre.

use std::collections::BTreeMap;

use sequoiagw_membership::MemberTable;
use sequoiagw_protocol::FleetReport;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// Status of the members of one data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStatus {
    /// Whether the data centre's collector reported in time.
    pub reachable: bool,
    /// Number of members in service.
    pub ready: usize,
    /// Number of members that are draining.
    pub draining: usize,
    /// Number of members that are starting.
    pub joining: usize,
    /// Number of members that are suspected or lost.
    pub lost: usize,
    /// Lowest active version of the members in service; 0 without such a member.
    pub version: u64,
    /// Active version of each member in service, by name; 0 if it isn't reported.
    pub versions: BTreeMap<String, u64>,
    /// Refused version of each member in service that refused one newer than its active version.
    pub refusing: BTreeMap<String, u64>,
}

/// Status of all data centres.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetStatus {
    /// Newest version that any node reports as active.
    pub newest: u64,
    /// Status of each data centre, by name.
    pub data_centres: BTreeMap<String, DataCentreStatus>,
}

impl FleetStatus {
    /// Combines the member table with the collectors' reports.
    pub(crate) fn of(table: &MemberTable, reports: &[FleetReport]) -> Self {
        let mut versions = BTreeMap::new();
        for node in reports.iter().flat_map(|report| &report.nodes) {
            versions.insert(NodeId::from(node.node), node.active);
        }
        let mut status = Self::default();
        for data_centre in table.data_centres() {
            let reachable = reports
                .iter()
                .any(|report| report.data_centre == data_centre);
            let data_centre_status = data_centre_status(table, data_centre, &versions, reachable);
            status
                .data_centres
                .insert(data_centre.to_owned(), data_centre_status);
        }
        status.newest = versions.values().copied().max().unwrap_or(0);
        status
    }

    /// Names of the members in service whose reported active version is older than `version`.
    pub fn nodes_behind(&self, version: u64) -> Vec<String> {
        let data_centres = self.data_centres.iter();
        data_centres
            .flat_map(|(_, data_centre)| &data_centre.versions)
            .filter(|(_, active)| **active < version)
            .map(|(name, _)| name.clone())
            .collect()
    }
}

fn data_centre_status(
    table: &MemberTable,
    data_centre: &str,
    versions: &BTreeMap<NodeId, u64>,
    reachable: bool,
) -> DataCentreStatus {
    let mut status = DataCentreStatus {
        reachable,
        ..DataCentreStatus::default()
    };
    for record in table.data_centre_records(data_centre) {
        match record.state() {
            MemberState::Ready => {
                let active = versions
                    .get(&NodeId::from(record.node))
                    .copied()
                    .unwrap_or(0);
                status.ready += 1;
                status.versions.insert(record.name.clone(), active);
                if record.refused_version > active {
                    status
                        .refusing
                        .insert(record.name.clone(), record.refused_version);
                }
            }
            MemberState::Joining => status.joining += 1,
            MemberState::Draining => status.draining += 1,
            MemberState::Suspect | MemberState::Lost => status.lost += 1,
            MemberState::Left => {}
        }
    }
    status.version = status.versions.values().copied().min().unwrap_or(0);
    status
}
