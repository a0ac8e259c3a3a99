//! Quotas at a node: its permits as entry, its buckets as counter, and what it knows of the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_policy::QuotaCache;
use sequoiagw_policy::QuotaLedger;
use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

use crate::grant_log::GrantLog;
use crate::FleetReach;
use crate::QuotaContacts;
use crate::QuotaSettings;

/// Time without activity after which the process counts as paused. It is active at least once a
/// second otherwise.
const PAUSE_TIME: Duration = Duration::from_secs(2);
/// Time for which the numbers of nodes by data centre are kept.
const COUNTS_RETENTION: Duration = Duration::from_millis(250);

/// Numbers of nodes by data centre.
#[derive(Clone, Debug)]
struct CentreCounts {
    counts: BTreeMap<String, usize>,
    at: Instant,
}

/// State of quotas at a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeQuotas {
    pub(crate) cache: QuotaCache,
    pub(crate) ledger: QuotaLedger,
    pub(crate) contacts: QuotaContacts,
    pub(crate) grant_log: GrantLog,
    /// Counter that each request under way was sent to.
    pub(crate) asked: HashMap<u64, NodeId>,
    members: BTreeSet<NodeId>,
    /// When a node was last removed, which may have made this node a counter.
    counting_since: Instant,
    last_activity: Instant,
    centre_counts: Option<CentreCounts>,
}

impl NodeQuotas {
    pub(crate) fn new(settings: QuotaSettings, data_centre: &str, boot: u64, now: Instant) -> Self {
        Self {
            cache: QuotaCache::new(boot),
            ledger: QuotaLedger::new(settings.tolerance, now),
            contacts: QuotaContacts::new(data_centre, now),
            grant_log: GrantLog::default(),
            asked: HashMap::new(),
            members: BTreeSet::new(),
            counting_since: now,
            last_activity: now,
            centre_counts: None,
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

    /// Part of the fleet of which this node may grant the permits, as substitute or as first counter;
    /// `count_nodes` returns the numbers of nodes by data centre.
    pub(crate) fn mandate<CountNodes>(
        &mut self,
        is_substitute: bool,
        count_nodes: CountNodes,
        now: Instant,
    ) -> FleetReach
    where
        CountNodes: FnOnce() -> BTreeMap<String, usize>,
    {
        let kept = self.centre_counts.take();
        let centre_counts = kept
            .filter(|kept| now < kept.at + COUNTS_RETENTION)
            .unwrap_or_else(|| CentreCounts {
                counts: count_nodes(),
                at: now,
            });
        let reach = self
            .contacts
            .mandate(&centre_counts.counts, is_substitute, now);
        self.centre_counts = Some(centre_counts);
        reach
    }
}
