//! Entry's side of quotas: permits at hand, requests for more, and callers that wait for them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::workspace_permits::WorkspacePermits;
use crate::QuotaAnswer;

/// Interval at which workspaces without recent requests are looked for.
const CLEAN_INTERVAL: Duration = Duration::from_secs(1);

/// Number of a caller that waits for a permit.
pub type PermitTicket = u64;

/// What a caller's request for a permit leads to at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// The caller has a permit.
    Allowed,
    /// The caller waits; [`QuotaAction::Settle`] follows.
    Waiting(PermitTicket),
    /// The quota is used up.
    Refused {
        /// Time until there are permits again.
        retry_after: Duration,
    },
}

/// What a caller that waited for a permit gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitOutcome {
    /// A permit.
    Allowed,
    /// None, because the quota is used up.
    Refused {
        /// Time until there are permits again.
        retry_after: Duration,
    },
    /// None, because no counter answered in time.
    Unavailable,
}

/// A request for permits, to be sent to the workspace's counter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaAsk {
    /// Number of the request, which the answer repeats.
    pub request: u64,
    /// Name of the workspace.
    pub workspace: String,
    /// Number of permits that the entry could use now, at least 1.
    pub wanted: u32,
}

/// An action that the cache requests from the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaAction {
    /// Send a request to the first counter that answers. It is never repeated under its number.
    Ask(QuotaAsk),
    /// The request with this number wasn't answered in time: ask another counter next.
    Unanswered(u64),
    /// Tell a caller the outcome.
    Settle(PermitTicket, PermitOutcome),
}

/// Permits of an entry by workspace, and the callers that wait for some.
#[derive(Clone, Debug)]
pub struct QuotaCache {
    workspaces: BTreeMap<String, WorkspacePermits>,
    /// Workspace of each caller that waits.
    tickets: HashMap<PermitTicket, String>,
    /// Workspace of each request under way.
    requests: HashMap<u64, String>,
    next_number: u64,
    cleaned: Option<Instant>,
    actions: Vec<QuotaAction>,
}

impl QuotaCache {
    /// Creates a cache without permits. Requests are numbered from `first_number` on, which should
    /// differ between processes of a node, so that late answers aren't taken for others.
    pub fn new(first_number: u64) -> Self {
        Self {
            workspaces: BTreeMap::new(),
            tickets: HashMap::new(),
            requests: HashMap::new(),
            next_number: first_number,
            cleaned: None,
            actions: Vec::new(),
        }
    }

    /// Returns the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<QuotaAction> {
        std::mem::take(&mut self.actions)
    }

    /// Uses a permit for a caller's request, or lets the caller wait for one.
    pub fn take(&mut self, workspace: &str, now: Instant) -> QuotaDecision {
        if !self.workspaces.contains_key(workspace) {
            let permits = WorkspacePermits::new(now);
            self.workspaces.insert(workspace.to_owned(), permits);
        }
        let Some(permits) = self.workspaces.get_mut(workspace) else {
            return QuotaDecision::Refused {
                retry_after: Duration::ZERO,
            };
        };
        let decision = if permits.use_permit(now) {
            QuotaDecision::Allowed
        } else if let Some(retry_after) = permits.remembered_refusal(now) {
            QuotaDecision::Refused { retry_after }
        } else {
            let ticket = self.next_number;
            self.next_number = self.next_number.wrapping_add(1);
            permits.add_caller(ticket, now);
            self.tickets.insert(ticket, workspace.to_owned());
            QuotaDecision::Waiting(ticket)
        };
        self.ask_if_needed(workspace, now);
        decision
    }

    /// Removes a caller that has disconnected while it waited.
    pub fn leave(&mut self, ticket: PermitTicket) {
        let workspace = self.tickets.remove(&ticket);
        let permits = workspace.and_then(|workspace| self.workspaces.get_mut(&workspace));
        if let Some(permits) = permits {
            permits.remove_caller(ticket);
        }
    }

    /// Handles a counter's answer; returns whether its request is known. Permits whose request was
    /// sent too long ago are worthless and dropped.
    pub fn on_grant(&mut self, request: u64, answer: QuotaAnswer, now: Instant) -> bool {
        let Some(workspace) = self.requests.remove(&request) else {
            return false;
        };
        if let Some(permits) = self.workspaces.get_mut(&workspace) {
            permits.on_grant(request, answer, now);
            self.settle(&workspace);
            self.ask_if_needed(&workspace, now);
        }
        true
    }

    /// Handles a request that couldn't be sent: the next counter is asked at once.
    pub fn on_undelivered(&mut self, request: u64, now: Instant) {
        let Some(workspace) = self.requests.get(&request).cloned() else {
            return;
        };
        if let Some(permits) = self.workspaces.get_mut(&workspace) {
            if permits.expire_request(request) {
                self.actions.push(QuotaAction::Unanswered(request));
                self.ask_if_needed(&workspace, now);
            }
        }
    }

    /// Handles everything that is due at `now`.
    pub fn on_tick(&mut self, now: Instant) {
        let due = self.workspaces.iter();
        let due = due.filter(|(_, permits)| permits.next_wake().is_some_and(|wake| wake <= now));
        let due: Vec<String> = due.map(|(workspace, _)| workspace.clone()).collect();
        for workspace in due {
            self.expire(&workspace, now);
            self.ask_if_needed(&workspace, now);
        }
        if self.cleaned.is_none_or(|at| now >= at + CLEAN_INTERVAL) {
            self.cleaned = Some(now);
            self.workspaces.retain(|_, permits| !permits.is_idle(now));
        }
    }

    /// Next time at which [`Self::on_tick`] has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = self.workspaces.values().map(WorkspacePermits::next_wake);
        wakes.flatten().min()
    }

    /// Number of workspaces with recent requests.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether no workspace has recent requests.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Ends the waits of callers and requests that are due.
    fn expire(&mut self, workspace: &str, now: Instant) {
        let Some(permits) = self.workspaces.get_mut(workspace) else {
            return;
        };
        for request in permits.take_unanswered(now) {
            self.actions.push(QuotaAction::Unanswered(request));
        }
        for request in permits.take_lapsed_requests(now) {
            self.requests.remove(&request);
        }
        permits.expire_callers(now);
        self.settle(workspace);
    }

    /// Passes on the outcomes of callers that waited.
    fn settle(&mut self, workspace: &str) {
        let Some(permits) = self.workspaces.get_mut(workspace) else {
            return;
        };
        for (ticket, outcome) in permits.take_settled() {
            self.tickets.remove(&ticket);
            self.actions.push(QuotaAction::Settle(ticket, outcome));
        }
    }

    fn ask_if_needed(&mut self, workspace: &str, now: Instant) {
        let Some(permits) = self.workspaces.get_mut(workspace) else {
            return;
        };
        let Some(wanted) = permits.needed_permits(now) else {
            return;
        };
        let request = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        permits.add_request(request, wanted, now);
        self.requests.insert(request, workspace.to_owned());
        self.actions.push(QuotaAction::Ask(QuotaAsk {
            request,
            workspace: workspace.to_owned(),
            wanted,
        }));
    }
}
