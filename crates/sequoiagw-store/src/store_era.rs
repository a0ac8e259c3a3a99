//! Eras of the store: each begins when the store comes back from an older copy of its content.

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

/// Number of times that the store has come back from an older copy. The store forgets what was
/// written after the copy, and gives out the same revisions and leases again.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// Answer of the store with the era in which it was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraAnswer<Answer> {
    /// Era of the store.
    pub era: StoreEra,
    /// What the store answered.
    pub answer: Answer,
}

/// Revision of the store with the era to which it belongs. All revisions of an era are later than
/// those of the eras before.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{era}/{number}")]
pub struct StoreRevision {
    /// Era of the store.
    pub era: StoreEra,
    /// Number within the era.
    pub number: u64,
}
