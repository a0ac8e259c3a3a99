//! Requests whose replies haven't been written whole.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use derive_more::Display;

/// How far a request has got whose reply hasn't been written whole.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum OpenState {
    /// There is no reply so far.
    Running,
    /// The reply waits for earlier replies of its connection, or for the caller to take it.
    Unsent,
}

/// A request whose reply hasn't been written whole.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Id that the caller gave it.
    pub request_id: String,
    /// How far it has got.
    pub state: OpenState,
}

/// Requests of a server from their arrival until their replies have been written. Clones share the
/// requests.
#[derive(Clone, Debug, Default)]
pub struct OpenReplies {
    /// In the order of their arrival.
    requests: Rc<RefCell<BTreeMap<u64, OpenRequest>>>,
    next_number: Rc<Cell<u64>>,
}

/// Keeps a request open until it is dropped. A reply that carries it is dropped once it is written.
#[derive(Debug)]
pub struct OpenReply {
    replies: OpenReplies,
    number: u64,
}

impl OpenReplies {
    /// Adds a request that has arrived.
    #[must_use]
    pub fn open(&self, request_id: &str) -> OpenReply {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = OpenRequest {
            request_id: request_id.to_owned(),
            state: OpenState::Running,
        };
        self.requests.borrow_mut().insert(number, request);
        OpenReply {
            replies: self.clone(),
            number,
        }
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// The oldest open requests, at most `most`.
    pub fn oldest(&self, most: usize) -> Vec<OpenRequest> {
        let requests = self.requests.borrow();
        requests.values().take(most).cloned().collect()
    }
}

impl OpenReply {
    /// Records that there is a reply, which is to be written.
    pub fn mark_unsent(&self) {
        let mut requests = self.replies.requests.borrow_mut();
        if let Some(request) = requests.get_mut(&self.number) {
            request.state = OpenState::Unsent;
        }
    }
}

impl Drop for OpenReply {
    fn drop(&mut self) {
        self.replies.requests.borrow_mut().remove(&self.number);
    }
}
