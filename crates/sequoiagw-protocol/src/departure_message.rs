//! Messages with which other nodes remember that a backend server has left.

use prost::Message;

use crate::LeavingBackend;

/// Request to remember that the backend server next to the sender is leaving or has left, and to reply
/// what is remembered of it.
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct DepartureNotice {
    /// Process that is leaving; absent if the sender only asks.
    #[prost(message, optional, tag = "1")]
    pub departed: Option<LeavingBackend>,
    /// Address of the sender, `ip:port`: the receiver may not know a node that has just started.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Reply to a [`DepartureNotice`].
#[derive(Clone, Eq, Hash, Message, PartialEq)]
pub struct DepartureReply {
    /// Processes next to the receiver that the sender remembers as leaving or having left.
    #[prost(message, repeated, tag = "1")]
    pub departed: Vec<LeavingBackend>,
    /// Whether the sender has run for so long that it has heard of each departure from which a heartbeat
    /// could still be on its way. Without it, an empty list shows nothing.
    #[prost(bool, tag = "2")]
    pub remembers: bool,
}
