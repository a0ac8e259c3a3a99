//! Contacts of an entry with the counters of quotas: which ones don't answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sequoiagw_protocol::NodeId;
use tokio::time::Instant;

/// Time without a message from a data centre after which a counter there that doesn't answer is taken
/// to be cut off with all of it.
const CUT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval of probes to nodes that don't answer and data centres from which nothing is heard.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of unresponsive nodes that are probed at once.
const MAX_PROBED_NODES: usize = 8;

/// Contacts of a node with the others.
#[derive(Clone, Debug)]
pub struct QuotaContacts {
    own_centre: String,
    /// Time of the last message from each data centre, without this node's own.
    heard: BTreeMap<String, Instant>,
    /// Nodes that didn't answer a request, until a message from them arrives.
    silent: BTreeSet<NodeId>,
    /// Data centres that are taken to be cut off, until a message from them arrives.
    cut: BTreeSet<String>,
    next_probe: Instant,
}

impl QuotaContacts {
    /// Creates the contacts of a node that has heard from nobody.
    pub fn new(own_centre: &str, now: Instant) -> Self {
        Self {
            own_centre: own_centre.to_owned(),
            heard: BTreeMap::new(),
            silent: BTreeSet::new(),
            cut: BTreeSet::new(),
            next_probe: now,
        }
    }

    /// Records a message from another node.
    pub fn on_contact(&mut self, node: NodeId, centre: &str, now: Instant) {
        match self.heard.get_mut(centre) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(centre.to_owned(), now);
            }
        }
        self.silent.remove(&node);
        self.cut.remove(centre);
    }

    /// Records that a counter didn't answer in time. With it, a remote data centre that hasn't been
    /// heard of lately is left out, so that a cut delays callers once and not once for each node.
    pub fn on_unanswered(&mut self, node: NodeId, centre: &str, now: Instant) {
        self.silent.insert(node);
        if centre != self.own_centre && !self.is_heard(centre, CUT_TIMEOUT, now) {
            self.cut.insert(centre.to_owned());
        }
    }

    /// Whether a node isn't asked for permits while another one can be.
    pub fn is_silent(&self, node: NodeId, centre: &str) -> bool {
        self.silent.contains(&node) || self.cut.contains(centre)
    }

    fn is_heard(&self, centre: &str, within: Duration, now: Instant) -> bool {
        let heard = self.heard.get(centre);
        heard.is_some_and(|heard| now < *heard + within)
    }

    /// Whether probes are due; if so, the next ones are due 0.25 s later.
    pub fn start_probes(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_probe;
        if is_due {
            self.next_probe = now + PROBE_INTERVAL;
        }
        is_due
    }

    /// Time at which the next probes are due.
    pub fn next_probe(&self) -> Instant {
        self.next_probe
    }

    /// Nodes that didn't answer and are to be probed, beginning anywhere.
    pub fn probed_nodes(&self, first: NodeId) -> Vec<NodeId> {
        let later = self.silent.range(first..);
        let earlier = self.silent.range(..first);
        later
            .chain(earlier)
            .take(MAX_PROBED_NODES)
            .copied()
            .collect()
    }

    /// Removes nodes that are not in the fleet any more.
    pub fn retain_nodes<IsKnown>(&mut self, is_known: IsKnown)
    where
        IsKnown: Fn(NodeId) -> bool,
    {
        self.silent.retain(|node| is_known(*node));
    }

    /// Data centres among `centres` from which nothing was heard for 0.25 s.
    pub fn unheard<'a>(&self, centres: &'a BTreeSet<String>, now: Instant) -> Vec<&'a str> {
        let unheard = centres.iter().map(String::as_str);
        unheard
            .filter(|centre| !self.is_heard(centre, PROBE_INTERVAL, now))
            .collect()
    }

    /// Whether a node or data centre is left out.
    pub fn has_silent(&self) -> bool {
        !self.silent.is_empty() || !self.cut.is_empty()
    }
}
