//! Identities of nodes.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::From;
use derive_more::Into;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Stable identity of a node, derived from its name in the settings.
///
/// A restarted process keeps its `NodeId` and gets a higher boot number.
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
    /// Derives the identity from a node's name (XXH3, 64 bits).
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// The identity as it stands in inner messages.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// Address at which a node accepts inner links.
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
    /// The socket address.
    pub fn get(self) -> SocketAddr {
        self.0
    }

    /// Parses the form used in inner messages, `ip:port`.
    pub fn parse(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}
