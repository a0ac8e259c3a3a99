//! A node's state for roll-outs.

use std::collections::BTreeSet;
use std::collections::HashMap;

use sequoiagw_policy::RolloutController;
use sequoiagw_policy::RolloutSettings;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunStatistics;
use sequoiagw_protocol::RolloutRecord;
use tokio::time::Instant;

use crate::rollout_proposal::ProposalQueue;
use crate::RolloutTable;

/// A run at the backend server that hasn't ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRun {
    pub(crate) started_at: Instant,
    pub(crate) deadline: Instant,
}

/// This node's part in the roll-out of its own service.
#[derive(Debug)]
struct OwnController {
    order_revision: u64,
    store_era: u64,
    controller: RolloutController,
}

/// What a node keeps for roll-outs; exists where they are on.
#[derive(Debug)]
pub(crate) struct NodeRollouts {
    pub(crate) settings: RolloutSettings,
    pub(crate) table: RolloutTable,
    pub(crate) statistics: RunStatistics,
    pub(crate) open_runs: HashMap<RunId, OpenRun>,
    pub(crate) proposals: ProposalQueue,
    /// Services with a target that gets a share of the calls.
    pub(crate) canary_services: BTreeSet<String>,
    own: Option<OwnController>,
}

impl NodeRollouts {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            table: RolloutTable::default(),
            statistics: RunStatistics::default(),
            open_runs: HashMap::new(),
            proposals: ProposalQueue::default(),
            canary_services: BTreeSet::new(),
            own: None,
        }
    }

    /// This node's part in the roll-out of its service, if it has one.
    pub(crate) fn controller(&self) -> Option<&RolloutController> {
        self.own.as_ref().map(|own| &own.controller)
    }

    pub(crate) fn controller_mut(&mut self) -> Option<&mut RolloutController> {
        self.own.as_mut().map(|own| &mut own.controller)
    }

    /// Creates, updates or ends this node's part by what is known of the roll-out of its service.
    /// `version` is the software version of the backend server.
    pub(crate) fn update_controller(
        &mut self,
        node: &str,
        service: &str,
        version: &str,
        now: Instant,
    ) {
        let known = self.table.rollout(service).filter(|known| {
            known.is_recorded() && !version.is_empty() && known.record.new_version == version
        });
        let Some(known) = known else {
            self.own = None;
            return;
        };
        let record = &known.record;
        match &mut self.own {
            Some(own) if own.is_for(record) => own.controller.on_record(record, now),
            _ if known.is_final() => self.own = None,
            _ => {
                let age = known.order_age(now);
                let controller =
                    RolloutController::new(self.settings, node, record.clone(), age, now);
                self.own = Some(OwnController {
                    order_revision: record.order_revision,
                    store_era: record.store_era,
                    controller,
                });
            }
        }
    }
}

impl OwnController {
    /// Whether this is the part in the roll-out of a record. The store gives out revisions again in
    /// a later era, but a final record that it had lost stays that of the same order.
    fn is_for(&self, record: &RolloutRecord) -> bool {
        self.order_revision == record.order_revision && self.store_era <= record.store_era
    }
}
