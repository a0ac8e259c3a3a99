//! Identities of calls.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use sequoiagw_protocol::NodeId;

/// A call as its owner knows it: the entry that dispatched it, its boot and its number.
///
/// Numbers are never reused within a boot, so no two calls ever share an identity.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{entry}/{boot}/{call}")]
pub struct CallId {
    /// Entry node.
    pub entry: NodeId,
    /// Its boot.
    pub boot: u64,
    /// Its number for the call.
    pub call: u64,
}

/// One run of a call at the backend server, numbered by the owner.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunId(pub u64);
