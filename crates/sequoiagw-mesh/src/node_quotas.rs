//! Quotas at a node: its permits as entry, its buckets as counter, and what it knows of the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use sequoiagw_policy::QuotaCache;
use sequoiagw_policy::QuotaLedger;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::grant_log::GrantLog;
use crate::FleetReach;
use crate::MeshSettings;
use crate::ProbePurpose;
use crate::QuotaContacts;
use crate::QuotaSettings;
use crate::ReachMonitor;
use crate::ReachProbe;

/// Time without activity after which the process counts as paused. It is active at least once a
/// second otherwise.
const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Time for which an estimate of the reached part of the fleet is used.
const REACH_RETENTION: Duration = Duration::from_millis(20);
/// Time for which nodes are probed after a bucket of this node ran short or was used so much that the fleet may
/// have gone over the quota together with the counters of other parts.
const PROBING_TIME: Duration = Duration::from_secs(1);

/// State of quotas at a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeQuotas {
    pub(crate) cache: QuotaCache,
    pub(crate) ledger: QuotaLedger,
    pub(crate) contacts: QuotaContacts,
    pub(crate) reach: ReachMonitor,
    pub(crate) grant_log: GrantLog,
    /// Counter that each request under way was sent to.
    pub(crate) asked: HashMap<u64, NodeId>,
    members: BTreeSet<NodeId>,
    /// When a node was last removed, which may have made this node a counter.
    counting_since: Instant,
    last_activity: Instant,
    latest_reach: Option<(Instant, FleetReach)>,
    /// Until when nodes are probed to measure which part is reached.
    probing_until: Instant,
    /// Until when nodes are probed to notice a cut.
    watching_until: Instant,
    /// First counters in whose place this node was asked, with the time of the latest request.
    replaced_counters: BTreeMap<NodeId, Instant>,
}

impl NodeQuotas {
    pub(crate) fn new(
        quota: QuotaSettings,
        settings: &MeshSettings,
        boot: u64,
        now: Instant,
    ) -> Self {
        let own = NodeId::from_name(&settings.name);
        Self {
            cache: QuotaCache::new(boot),
            ledger: QuotaLedger::new(quota.tolerance, now),
            contacts: QuotaContacts::new(&settings.data_centre, now),
            reach: ReachMonitor::new(own, boot, now),
            grant_log: GrantLog::default(),
            asked: HashMap::new(),
            members: BTreeSet::new(),
            counting_since: now,
            last_activity: now,
            latest_reach: None,
            probing_until: now,
            watching_until: now,
            replaced_counters: BTreeMap::new(),
        }
    }

    /// Records that the process is active. After a pause all buckets start anew; returns whether
    /// there was one.
    pub(crate) fn on_activity(&mut self, now: Instant) -> bool {
        let was_paused = now > self.last_activity + PAUSE_TIME;
        self.last_activity = self.last_activity.max(now);
        if was_paused {
            self.ledger.reset(now);
        }
        was_paused
    }

    /// Updates the nodes of the fleet.
    pub(crate) fn set_members(&mut self, members: BTreeSet<NodeId>, now: Instant) {
        if !self.members.is_subset(&members) {
            self.counting_since = now;
        }
        self.contacts.retain_nodes(|node| members.contains(&node));
        self.members = members;
    }

    pub(crate) const fn counting_since(&self) -> Instant {
        self.counting_since
    }

    /// Part of the fleet that this node reaches, as of a short time ago.
    pub(crate) fn fleet_reach(&mut self, now: Instant) -> FleetReach {
        let latest = self.latest_reach;
        let latest = latest.filter(|(at, _)| now < *at + REACH_RETENTION);
        let (at, reach) = latest.unwrap_or_else(|| {
            self.reach.check_overdue(now);
            (now, self.reach.reach(now))
        });
        self.latest_reach = Some((at, reach));
        reach
    }

    /// Records that a bucket of this node has run short.
    pub(crate) fn on_shortage(&mut self, now: Instant) {
        if now >= self.probing_until {
            self.reach.hasten_round(now);
        }
        self.probing_until = now + PROBING_TIME;
    }

    /// Records that a bucket of this node is in much use.
    pub(crate) fn on_much_use(&mut self, now: Instant) {
        self.watching_until = now + PROBING_TIME;
    }

    /// Records that this node was asked in the place of a first counter.
    pub(crate) fn on_replacement(&mut self, first: NodeId, now: Instant) {
        self.replaced_counters.insert(first, now);
        self.replaced_counters
            .retain(|_, asked| now < *asked + PROBING_TIME);
    }

    /// Time of the next probes of the fleet's nodes, `None` if none are needed.
    pub(crate) fn next_probes(&self, now: Instant) -> Option<Instant> {
        self.probe_purpose(now).map(|_| self.reach.next_round())
    }

    fn probe_purpose(&self, now: Instant) -> Option<ProbePurpose> {
        if now < self.probing_until {
            return Some(ProbePurpose::Measure);
        }
        (now < self.watching_until).then_some(ProbePurpose::Watch)
    }

    /// Probes of the fleet's nodes that are due.
    pub(crate) fn start_probes<Generator>(
        &mut self,
        rng: &mut Generator,
        now: Instant,
    ) -> Vec<ReachProbe>
    where
        Generator: Rng,
    {
        let Some(purpose) = self.probe_purpose(now) else {
            return Vec::new();
        };
        self.reach.check_overdue(now);
        let watched: Vec<NodeId> = self.replaced_counters.keys().copied().collect();
        self.reach.start_round(purpose, &watched, rng, now)
    }
}
