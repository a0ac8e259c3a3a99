//! Quotas: requests for permits to the nodes that count them, and the answers of this node as counter.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use sequoiagw_policy::CounterMandate;
use sequoiagw_policy::CounterStanding;
use sequoiagw_policy::PermitOutcome;
use sequoiagw_policy::PermitTicket;
use sequoiagw_policy::QuotaAction;
use sequoiagw_policy::QuotaAnswer;
use sequoiagw_policy::QuotaAsk;
use sequoiagw_policy::QuotaDecision;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::ProbeAnswer;
use sequoiagw_protocol::ProbeMessage;
use sequoiagw_protocol::QuotaGrant;
use sequoiagw_protocol::QuotaRequest;
use tokio::time::Instant;
use tracing::info;

use crate::grant_log::GrantRecord;
use crate::quota_counter::first_counter;
use crate::FleetReach;
use crate::MeshAction;
use crate::MeshCore;

/// Time after the last message from a node that isn't probed for which it counts as running.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Nodes of a data centre that are probed at once when nothing was heard from it.
const PROBES_PER_CENTRE: usize = 2;

impl MeshCore {
    /// Uses a permit of a workspace for a caller's request, or lets the caller wait for one;
    /// [`MeshAction::Permit`] follows then. Quotas must be on.
    pub fn take_permit(&mut self, workspace: &str, now: Instant) -> QuotaDecision {
        let Some(quotas) = &mut self.quotas else {
            return QuotaDecision::Allowed;
        };
        let decision = quotas.cache.take(workspace, now);
        if let QuotaDecision::Refused { .. } = decision {
            self.counters.count("quota.refused");
        }
        self.run_quota_actions(now);
        self.process_actions(now);
        decision
    }

    /// Whether requests of workspaces need permits.
    pub fn has_quotas(&self) -> bool {
        self.quotas.is_some()
    }

    /// Removes a caller that waited for a permit and has disconnected.
    pub fn leave_permit_queue(&mut self, ticket: PermitTicket) {
        if let Some(quotas) = &mut self.quotas {
            quotas.cache.leave(ticket);
        }
    }

    /// Grants permits to a node, which may be this node itself. Without the workspace's limit, such
    /// as before the first configuration version, the request stays unanswered.
    pub(crate) fn on_quota_request(&mut self, from: NodeId, request: &QuotaRequest, now: Instant) {
        self.note_quota_activity(now);
        let version = self.active_version.as_ref();
        let workspace = version.and_then(|version| version.workspace(&request.workspace));
        let Some(quota) = workspace.map(|workspace| workspace.quota) else {
            self.counters.count("quota.workspace_unknown");
            return;
        };
        let answer = match quota {
            Some(limit) => {
                let mandate = self.counter_mandate(&request.workspace, now);
                let (Some((mandate, reach)), Some(quotas)) = (mandate, &mut self.quotas) else {
                    return;
                };
                let (name, wanted) = (&request.workspace, request.wanted);
                let answer = quotas.ledger.grant(name, limit, wanted, mandate, now);
                if quotas.ledger.is_short(name) {
                    quotas.on_shortage(now);
                } else if quotas.ledger.is_in_much_use(name, limit) {
                    quotas.on_much_use(now);
                }
                let record = GrantRecord {
                    asker: from,
                    wanted,
                    granted: answer.granted,
                    mandate,
                    reach,
                };
                quotas.grant_log.record(name, record, now);
                answer
            }
            None => QuotaAnswer {
                granted: request.wanted,
                retry_after: Duration::ZERO,
            },
        };
        self.counters
            .add("quota.permits_granted", u64::from(answer.granted));
        let grant = QuotaGrant {
            request: request.request,
            granted: answer.granted,
            retry_after_ms: whole_millis(answer.retry_after),
        };
        self.send(from, FrameBody::QuotaGrant(grant));
        self.send_reach_probes(now);
    }

    /// Handles a counter's answer.
    pub(crate) fn on_quota_grant(&mut self, grant: QuotaGrant, now: Instant) {
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        let answer = QuotaAnswer {
            granted: grant.granted,
            retry_after: Duration::from_millis(u64::from(grant.retry_after_ms)),
        };
        quotas.asked.remove(&grant.request);
        if !quotas.cache.on_grant(grant.request, answer, now) {
            self.counters.count("quota.answer_late");
        }
        self.run_quota_actions(now);
    }

    /// Handles a request for permits that couldn't be sent.
    pub(crate) fn on_quota_undelivered(&mut self, request: u64, now: Instant) {
        if let Some(quotas) = &mut self.quotas {
            quotas.cache.on_undelivered(request, now);
            self.run_quota_actions(now);
        }
    }

    /// Records a message from another node.
    pub(crate) fn note_quota_contact(&mut self, node: NodeId, now: Instant) {
        if let (Some(quotas), Some(centre)) = (&mut self.quotas, self.directory.data_centre(node)) {
            if node != self.node {
                quotas.contacts.on_contact(node, centre, now);
            }
        }
    }

    /// Records that the process is active, and whether it was paused before. Ticks alone don't show
    /// that: they are put off while events arrive in short intervals.
    pub(crate) fn note_quota_activity(&mut self, now: Instant) {
        let quotas = self.quotas.as_mut();
        if quotas.is_some_and(|quotas| quotas.on_activity(now)) {
            self.counters.count("quota.paused");
            info!(event = "quota_buckets_reset", reason = "paused");
        }
    }

    /// Updates what depends on the nodes of the fleet.
    pub(crate) fn update_quota_members(&mut self, now: Instant) {
        if let Some(quotas) = &mut self.quotas {
            let members = self.directory.boots().map(|(node, _)| node);
            quotas.set_members(members.collect(), now);
            quotas.reach.set_nodes(self.directory.quota_nodes());
        }
    }

    /// Handles what is due at `now`.
    pub(crate) fn tick_quotas(&mut self, now: Instant) {
        self.note_quota_activity(now);
        if let Some(quotas) = &mut self.quotas {
            quotas.cache.on_tick(now);
            quotas.grant_log.write_due(now);
            self.run_quota_actions(now);
            self.send_quota_probes(now);
            self.send_reach_probes(now);
        }
    }

    /// Earliest time at which [`Self::tick_quotas`] has something to do.
    pub(crate) fn quota_wake(&self, now: Instant) -> Option<Instant> {
        let quotas = self.quotas.as_ref()?;
        let contacts = &quotas.contacts;
        let probe = contacts.has_silent().then(|| contacts.next_probe());
        let times = [quotas.cache.next_wake(), probe, quotas.next_probes(now)];
        times.into_iter().flatten().min()
    }

    /// Part of this node in counting a workspace, and the part of the fleet that it follows from; `None` if
    /// quotas are off.
    fn counter_mandate(
        &mut self,
        workspace: &str,
        now: Instant,
    ) -> Option<(CounterMandate, FleetReach)> {
        let nodes = self.directory.boots().map(|(node, _)| node);
        let first = first_counter(workspace, nodes, |_| false);
        let other = first.filter(|node| *node != self.node);
        let quotas = self.quotas.as_mut()?;
        if let Some(first) = other {
            quotas.on_replacement(first, now);
        }
        let reach = quotas.fleet_reach(now);
        let contact = other.and_then(|first| self.calls.entry.last_contact(first));
        let had_contact = contact.is_some_and(|contact| now < contact + CONTACT_TIMEOUT);
        let substitute = other.map(|first| {
            let is_running = quotas.reach.is_running(first, now);
            CounterStanding::Substitute {
                first_is_running: is_running.unwrap_or(had_contact),
            }
        });
        let mandate = CounterMandate {
            share: reach.share(),
            standing: substitute.unwrap_or(CounterStanding::First {
                since: quotas.counting_since(),
            }),
        };
        Some((mandate, reach))
    }

    fn run_quota_actions(&mut self, now: Instant) {
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        for action in quotas.cache.take_actions() {
            match action {
                QuotaAction::Ask(ask) => self.send_quota_request(ask),
                QuotaAction::Unanswered(request) => self.on_quota_unanswered(request, now),
                QuotaAction::Settle(ticket, outcome) => {
                    self.counters.count(outcome_counter(outcome));
                    self.actions.push(MeshAction::Permit(ticket, outcome));
                }
            }
        }
    }

    fn send_quota_request(&mut self, ask: QuotaAsk) {
        let counter = self.choose_counter(&ask.workspace);
        if let Some(quotas) = &mut self.quotas {
            quotas.asked.insert(ask.request, counter);
        }
        self.counters.count("quota.requests_sent");
        let request = QuotaRequest {
            request: ask.request,
            workspace: ask.workspace,
            wanted: ask.wanted,
        };
        self.send(counter, FrameBody::QuotaRequest(request));
    }

    /// Node to ask for a workspace's permits: this node if every other one is silent.
    fn choose_counter(&self, workspace: &str) -> NodeId {
        let entry = &self.calls.entry;
        let is_left_out = |node: NodeId| {
            let is_silent = self.quotas.as_ref().is_some_and(|quotas| {
                let centre = self.directory.data_centre(node).unwrap_or_default();
                quotas.contacts.is_silent(node, centre)
            });
            node != self.node && (is_silent || entry.is_suspect(node))
        };
        let nodes = self.directory.boots().map(|(node, _)| node);
        first_counter(workspace, nodes, is_left_out).unwrap_or(self.node)
    }

    fn on_quota_unanswered(&mut self, request: u64, now: Instant) {
        self.counters.count("quota.unanswered");
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        let counter = quotas.asked.remove(&request);
        let Some(node) = counter.filter(|node| *node != self.node) else {
            return;
        };
        let centre = self.directory.data_centre(node).unwrap_or_default();
        quotas.contacts.on_unanswered(node, centre, now);
    }

    /// Answers a node that wants to know whether it reaches this one.
    pub(crate) fn answer_reach_probe(&mut self, from: NodeId, sequence: u64) {
        let answer = ProbeAnswer {
            sequence,
            probed: self.node.get(),
            ..ProbeAnswer::default()
        };
        self.send(from, FrameBody::ProbeAnswer(answer));
    }

    /// Handles the answer to a probe.
    pub(crate) fn on_reach_answer(&mut self, from: NodeId, sequence: u64, now: Instant) {
        if let Some(quotas) = &mut self.quotas {
            quotas.reach.on_answer(from, sequence, now);
        }
    }

    /// Handles a probe that couldn't be sent.
    pub(crate) fn on_reach_undelivered(&mut self, node: NodeId, sequence: u64, now: Instant) {
        if let Some(quotas) = &mut self.quotas {
            quotas.reach.on_undelivered(node, sequence, now);
        }
    }

    /// Probes nodes of the fleet while a bucket of this node runs short or is in much use.
    fn send_reach_probes(&mut self, now: Instant) {
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        if quotas.next_probes(now).is_some_and(|due| now >= due) {
            // Departures are forgotten without a change of the directory.
            quotas.reach.set_nodes(self.directory.quota_nodes());
        }
        for probe in quotas.start_probes(&mut self.rng, now) {
            let message = ProbeMessage {
                sequence: probe.sequence,
                ..ProbeMessage::default()
            };
            self.counters.count("quota.probes_sent");
            self.send(probe.node, FrameBody::Probe(message));
        }
    }

    /// Probes counters that didn't answer, and data centres that are left out with one.
    fn send_quota_probes(&mut self, now: Instant) {
        let first = NodeId::from(self.rng.random::<u64>());
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        if !quotas.contacts.has_silent() || !quotas.contacts.start_probes(now) {
            return;
        }
        let mut probed: BTreeSet<NodeId> =
            quotas.contacts.probed_nodes(first).into_iter().collect();
        let centres = self.directory.data_centres();
        for centre in quotas.contacts.unheard(&centres, now) {
            let nodes: Vec<NodeId> = self.directory.registered_in(centre).collect();
            let start = nodes.partition_point(|node| *node < first);
            let in_turn = nodes[start..].iter().chain(&nodes[..start]);
            let others = in_turn.filter(|node| **node != self.node);
            probed.extend(others.take(PROBES_PER_CENTRE));
        }
        for node in probed {
            // No call has the id 0: the answer only shows that the node can be reached.
            let probe = CallQuery {
                call: 0,
                target_boot: 0,
            };
            self.send(node, FrameBody::Query(probe));
        }
    }
}

/// Counter of callers that waited, by what they got.
const fn outcome_counter(outcome: PermitOutcome) -> &'static str {
    match outcome {
        PermitOutcome::Allowed => "quota.waited",
        PermitOutcome::Refused { .. } => "quota.refused",
        PermitOutcome::Unavailable => "quota.unavailable",
    }
}

/// Milliseconds, rounded up so that a wait isn't taken for none.
fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
