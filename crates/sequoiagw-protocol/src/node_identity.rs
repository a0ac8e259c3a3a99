//! Identifiers and addresses of nodes.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::From;
use derive_more::Into;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Stable identifier of a node, derived from the name in its settings.
///
/// A node keeps its `NodeId` across restarts; its boot number increases.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct NodeId(u64);

impl NodeId {
    /// Derives the identifier from a node's name, as its 64-bit XXH3 hash.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the number that identifies the node in messages.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// Address at which a node accepts links from other nodes.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct NodeAddress(SocketAddr);

impl NodeAddress {
    /// Returns the socket address.
    pub fn get(self) -> SocketAddr {
        self.0
    }

    /// Parses the form used in messages, `ip:port`.
    ///
    /// Returns `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}
