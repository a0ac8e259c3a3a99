//! Identifiers of calls and runs.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use sequoiagw_protocol::NodeId;

/// Identifies a dispatched call at its owner: the entry, the entry's boot and the dispatch id.
///
/// Dispatch ids are never reused within a boot, so the identifier is unique.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{entry}/{boot}/{call}")]
pub struct CallId {
    /// Entry node.
    pub entry: NodeId,
    /// Boot of the entry.
    pub boot: u64,
    /// Dispatch id given by the entry.
    pub call: u64,
}

/// Identifies one run of a call at the backend server; numbered by the owner.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunId(pub u64);
