//! The driver's role: who holds it, and what the node has seen since it took it over.

use std::time::Duration;

use sequoiagw_protocol::RolloutRecord;
use sequoiagw_protocol::RolloutStage;
use tokio::time::Instant;

use crate::rollout_drain::RolloutDrain;
use crate::rollout_exposure::RolloutExposure;
use crate::rollout_exposure::MAX_DRIVER_CLAIMS;
use crate::rollout_members::has_objected;
use crate::RolloutMembers;

/// Time between the claims of nodes that follow each other by name.
const CLAIM_STAGGER: Duration = Duration::from_millis(300);
/// Time for which a driver has to be missing among the registered nodes. The nodes' views of the
/// registrations differ for a moment after a start.
const DRIVER_MISSING_TIME: Duration = Duration::from_secs(1);

/// What a driver has seen since it took over the role.
#[derive(Clone, Debug)]
pub(crate) struct DriverTenure {
    pub(crate) since: Instant,
    pub(crate) exposure: RolloutExposure,
    pub(crate) drain: RolloutDrain,
}

impl DriverTenure {
    fn new(since: Instant) -> Self {
        Self {
            since,
            exposure: RolloutExposure::default(),
            drain: RolloutDrain::default(),
        }
    }
}

/// The driver's role of a roll-out, as one node of the new version sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct DriverRole {
    tenure: Option<DriverTenure>,
    /// Number of the claim that this process has proposed last. A record that names the node with
    /// another number was written for an earlier process, whose runs nobody knows.
    claimed: Option<u32>,
    vacant_since: Option<Instant>,
}

impl DriverRole {
    /// What the node has seen as the driver, `None` if it is not the driver.
    pub(crate) fn tenure(&self) -> Option<&DriverTenure> {
        self.tenure.as_ref()
    }

    /// As [`Self::tenure`], to be changed.
    pub(crate) fn tenure_mut(&mut self) -> Option<&mut DriverTenure> {
        self.tenure.as_mut()
    }

    /// Takes over the driver of a record and returns whether the node has become the driver.
    pub(crate) fn on_record(&mut self, node: &str, record: &RolloutRecord, now: Instant) -> bool {
        if record.driver != node {
            self.tenure = None;
            self.claimed = None;
            return false;
        }
        if self.tenure.is_some() || self.claimed != Some(record.driver_claims) {
            return false;
        }
        self.tenure = Some(DriverTenure::new(now));
        true
    }

    /// Notes since when the role is free for this node to claim.
    pub(crate) fn update_vacancy(
        &mut self,
        node: &str,
        ready: bool,
        record: &RolloutRecord,
        members: &RolloutMembers,
        now: Instant,
    ) {
        let is_free = ready
            && (record.driver.is_empty()
                || has_objected(record, &record.driver)
                || !members.has_new(&record.driver)
                || (record.driver == node && self.tenure.is_none()));
        if is_free {
            self.vacant_since.get_or_insert(now);
        } else {
            self.vacant_since = None;
        }
    }

    /// Time from which this node may claim the role, `None` if it may not.
    pub(crate) fn claim_time(
        &self,
        node: &str,
        record: &RolloutRecord,
        members: &RolloutMembers,
    ) -> Option<Instant> {
        let vacant_since = self.vacant_since?;
        let has_claims_left =
            record.stage() != RolloutStage::Canary || record.driver_claims < MAX_DRIVER_CLAIMS;
        if self.tenure.is_some() || has_objected(record, node) || !has_claims_left {
            return None;
        }
        let is_certain = record.driver.is_empty()
            || record.driver == node
            || has_objected(record, &record.driver);
        let missing_time = if is_certain {
            Duration::ZERO
        } else {
            DRIVER_MISSING_TIME
        };
        let rank = members.rank(node, record)?;
        Some(vacant_since + missing_time + CLAIM_STAGGER * rank)
    }

    /// Notes that the node has proposed itself as the driver.
    pub(crate) fn on_claim(&mut self, record: &RolloutRecord) {
        self.claimed = Some(record.driver_claims);
    }
}
