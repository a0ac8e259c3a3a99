//! Large dispatches of a node that no link has sent whole.

use std::cell::RefCell;
use std::collections::HashMap;

use tokio::sync::Notify;

/// State of a dispatch that has not been sent whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DispatchState {
    /// It waits for a link, or parts of it have been sent.
    Waiting,
    /// Its call has ended, and what is left of it must not be sent.
    Withdrawn,
}

/// Large dispatches that have not been sent whole, over all links of a node.
///
/// A receiver decodes a dispatch only with its last part, so these dispatches have not run. They are
/// kept for all links together: when a link replaces another one, the query for a dispatch would
/// overtake it on the new link.
#[derive(Debug, Default)]
pub struct UnsentDispatches {
    states: RefCell<HashMap<u64, DispatchState>>,
    withdrawn: Notify,
}

impl UnsentDispatches {
    /// Adds a dispatch, unless it is known already.
    pub fn add(&self, dispatch: u64) {
        let mut states = self.states.borrow_mut();
        states.entry(dispatch).or_insert(DispatchState::Waiting);
    }

    /// Whether a dispatch waits or is being sent.
    pub fn is_waiting(&self, dispatch: u64) -> bool {
        self.states.borrow().get(&dispatch) == Some(&DispatchState::Waiting)
    }

    /// Withdraws a dispatch; returns whether it was waiting, so that it never runs.
    pub fn withdraw(&self, dispatch: u64) -> bool {
        let mut states = self.states.borrow_mut();
        let Some(state) = states.get_mut(&dispatch) else {
            return false;
        };
        let was_waiting =
            std::mem::replace(state, DispatchState::Withdrawn) == DispatchState::Waiting;
        self.withdrawn.notify_waiters();
        was_waiting
    }

    /// Waits until a dispatch is withdrawn.
    pub async fn wait_for_withdrawal(&self) {
        self.withdrawn.notified().await;
    }

    /// Whether a dispatch has been withdrawn and not been removed yet.
    pub fn is_withdrawn(&self, dispatch: u64) -> bool {
        self.states.borrow().get(&dispatch) == Some(&DispatchState::Withdrawn)
    }

    /// Removes a dispatch that was sent whole, returned as undelivered or dropped; returns whether
    /// it had been withdrawn.
    pub fn remove(&self, dispatch: u64) -> bool {
        self.states.borrow_mut().remove(&dispatch) == Some(DispatchState::Withdrawn)
    }
}
