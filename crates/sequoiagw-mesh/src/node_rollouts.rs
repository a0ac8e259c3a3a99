//! A node's state for roll-outs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_policy::RolloutController;
use sequoiagw_policy::RolloutSettings;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunStatistics;
use sequoiagw_protocol::RolloutRecord;
use tokio::time::Instant;

use crate::rollout_proposal::ProposalQueue;
use crate::FleetDirectory;
use crate::KnownRollout;
use crate::RolloutTable;

/// Difference in the age of an order that doesn't matter to its times.
const ORDER_AGE_TOLERANCE: Duration = Duration::from_millis(200);

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
    /// Age of the order when the controller was created.
    order_age: Duration,
    created_at: Instant,
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
    /// Position among the watchers of all data centres, which write records in turn; `None` if this
    /// node is no watcher.
    pub(crate) writer_position: Option<usize>,
    /// Whether this node has read the registrations from the store.
    pub(crate) registrations_read: bool,
    /// Next time at which other targets may be used without a new record.
    pub(crate) target_change: Option<Instant>,
    /// Order of each service's roll-out, and number of its objections that have been logged.
    pub(crate) recorded_objections: BTreeMap<String, (u64, usize)>,
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
            writer_position: None,
            registrations_read: false,
            target_change: None,
            recorded_objections: BTreeMap::new(),
            own: None,
        }
    }

    /// Whether an order asks for what is already there, and no record says so yet.
    pub(crate) fn is_settled(&self, known: &KnownRollout, directory: &FleetDirectory) -> bool {
        self.registrations_read
            && !known.is_recorded()
            && has_only_version(directory, &known.record)
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
            Some(own)
                if own.is_for(record)
                    && (record.driver == node || !own.is_older(known.order_age(now), now)) =>
            {
                own.controller.on_record(record, now);
            }
            _ if known.is_final() => self.own = None,
            _ => {
                let age = known.order_age(now);
                let controller =
                    RolloutController::new(self.settings, node, record.clone(), age, now);
                self.own = Some(OwnController {
                    order_revision: record.order_revision,
                    store_era: record.store_era,
                    order_age: age,
                    created_at: now,
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

    /// Whether a peer has told since that the order is older than this node knew.
    fn is_older(&self, order_age: Duration, now: Instant) -> bool {
        let known_age = self.order_age + now.saturating_duration_since(self.created_at);
        order_age > known_age + ORDER_AGE_TOLERANCE
    }
}

/// Whether all targets of a service, at least one, have the new version of a record. Nodes whose
/// registrations lapsed a short time ago count, since all may lapse in an outage of the store.
pub(crate) fn has_only_version(directory: &FleetDirectory, record: &RolloutRecord) -> bool {
    has_target(directory, record, true) && !has_target(directory, record, false)
}

/// Whether all targets of a service, at least one, have other versions, counted likewise.
pub(crate) fn has_only_other_versions(directory: &FleetDirectory, record: &RolloutRecord) -> bool {
    has_target(directory, record, false) && !has_target(directory, record, true)
}

fn has_target(directory: &FleetDirectory, record: &RolloutRecord, is_new: bool) -> bool {
    let targets = directory.targets_where(|registration| {
        registration.service == record.service
            && (registration.backend_version == record.new_version) == is_new
    });
    !targets.is_empty()
}
