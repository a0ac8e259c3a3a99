//! Versions in force in each data centre.

use std::collections::BTreeMap;

use sequoiagw_membership::MemberTable;
use sequoiagw_protocol::FleetReport;
use sequoiagw_protocol::MemberState;
use sequoiagw_protocol::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// One data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStatus {
    /// Whether its collector answered.
    pub reachable: bool,
    /// Members in service.
    pub ready: usize,
    /// Members that are leaving.
    pub draining: usize,
    /// Members that are starting.
    pub joining: usize,
    /// Members that are suspected or lost.
    pub lost: usize,
    /// Lowest version in force at a member in service.
    pub version: u64,
    /// Version in force of each member, by name.
    pub versions: BTreeMap<String, u64>,
    /// Members that refuse a version, with that version.
    pub refusing: BTreeMap<String, u64>,
}

/// All data centres.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetStatus {
    /// Newest version in force anywhere.
    pub newest: u64,
    /// Data centres by name.
    pub data_centres: BTreeMap<String, DataCentreStatus>,
}

impl FleetStatus {
    /// Joins the members with what the collectors reported.
    pub(crate) fn of(table: &MemberTable, reports: &[FleetReport]) -> Self {
        let mut versions = BTreeMap::new();
        for node in reports.iter().flat_map(|report| &report.nodes) {
            versions.insert(NodeId::from(node.node), node.active);
        }
        let mut status = Self::default();
        for centre in table.data_centres() {
            let reachable = reports.iter().any(|report| report.data_centre == centre);
            let centre_status = centre_status(table, centre, &versions, reachable);
            status.data_centres.insert(centre.to_owned(), centre_status);
        }
        status.newest = versions.values().copied().max().unwrap_or(0);
        status
    }

    /// Members in service that aren't known to act on `version` or a later one.
    pub fn nodes_behind(&self, version: u64) -> Vec<String> {
        let centres = self.data_centres.iter();
        centres
            .flat_map(|(_, centre)| &centre.versions)
            .filter(|(_, active)| **active < version)
            .map(|(name, _)| name.clone())
            .collect()
    }
}

fn centre_status(
    table: &MemberTable,
    centre: &str,
    versions: &BTreeMap<NodeId, u64>,
    reachable: bool,
) -> DataCentreStatus {
    let mut status = DataCentreStatus {
        reachable,
        ..DataCentreStatus::default()
    };
    for record in table.data_centre_records(centre) {
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
