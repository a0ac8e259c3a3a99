//! Records of roll-outs that this node proposes to write to the store.

use sequoiagw_protocol::RolloutStage;
use tokio::time::Instant;
use tracing::info;

use crate::core_rollouts::stage_name;
use crate::node_rollouts::has_only_other_versions;
use crate::node_rollouts::has_only_version;
use crate::rollout_proposal::watcher_proposal;
use crate::FleetDirectory;
use crate::KnownRollout;
use crate::MeshAction;
use crate::MeshCore;
use crate::RolloutProposal;

impl MeshCore {
    /// Takes the next record to write to the store.
    pub fn take_rollout_proposal(&mut self) -> Option<RolloutProposal> {
        self.rollouts.as_mut()?.proposals.take_next()
    }

    /// Queues a record of this node's controller to be written.
    pub(crate) fn propose(&mut self, proposal: RolloutProposal) {
        log_proposal(&proposal);
        self.counters.count("rollout.proposed");
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.proposals.push(proposal);
        }
        self.actions.push(MeshAction::RolloutProposed);
    }

    /// Position of this node among the watchers that write records, `None` if it writes none now. It
    /// must have read the orders and records in the present era of the store, to which revisions belong.
    pub(crate) fn rollout_writer_position(&self) -> Option<usize> {
        let rollouts = self.rollouts.as_ref()?;
        let has_read = rollouts.table.read_era() == Some(self.store_era);
        rollouts.writer_position.filter(|_| has_read)
    }

    /// Proposes the records that this node has to write as a watcher.
    pub(crate) fn propose_watcher_writes(&mut self, now: Instant) {
        let era = self.store_era;
        let Some(rollouts) = &self.rollouts else {
            return;
        };
        let Some(position) = self.rollout_writer_position() else {
            return;
        };
        let due = rollouts.table.rollouts().filter(|known| {
            let time = rollouts.proposals.watcher_write_time(known, position);
            time.is_some_and(|time| time <= now)
        });
        let (idle, due): (Vec<&KnownRollout>, Vec<&KnownRollout>) =
            due.partition(|known| is_shift_for_driver(&self.directory, known));
        let idle: Vec<String> = idle
            .into_iter()
            .map(|known| known.record.service.clone())
            .collect();
        let proposals: Vec<RolloutProposal> = due
            .into_iter()
            .map(|known| {
                let is_everywhere = has_only_version(&self.directory, &known.record);
                watcher_proposal(known, &self.settings.name, era, is_everywhere)
            })
            .collect();
        if let Some(rollouts) = &mut self.rollouts {
            for service in idle {
                rollouts.proposals.record_watcher_write(&service, now);
            }
        }
        for proposal in proposals {
            if let Some(rollouts) = &mut self.rollouts {
                let service = &proposal.record.service;
                rollouts.proposals.record_watcher_write(service, now);
            }
            self.propose(proposal);
        }
    }

    /// Updates the position of this node among the watchers of all data centres, which write records
    /// in turn. A node that hasn't read the registrations doesn't know who the watchers are.
    pub(crate) fn update_rollout_writer_position(&mut self) {
        let centres = self.directory.data_centres().into_iter();
        let mut watchers = centres.flat_map(|centre| self.watchers_in(&centre));
        let position = watchers.position(|node| node == self.node);
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.writer_position = position.filter(|_| rollouts.registrations_read);
        }
    }
}

/// Whether a roll-out is in the shifting stage, which watchers end only if the service has targets of
/// other versions alone: no node is left then that could end it.
fn is_shift_for_driver(directory: &FleetDirectory, known: &KnownRollout) -> bool {
    let record = &known.record;
    record.stage() == RolloutStage::Shifting && !has_only_other_versions(directory, record)
}

/// Logs a record that this node proposes.
fn log_proposal(proposal: &RolloutProposal) {
    let record = &proposal.record;
    info!(
        event = "rollout_proposed",
        service = %record.service,
        new_version = %record.new_version,
        stage = stage_name(record),
        driver = %record.driver,
        objections = record.objections.len(),
        expected_revision = proposal.expected_revision
    );
}
