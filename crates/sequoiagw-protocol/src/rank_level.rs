//! Urgency of a call.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Urgency of a call: 0 is served first, 7 last, as in RFC 9218.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct RankLevel(u8);

impl RankLevel {
    /// The most urgent level.
    pub const MOST_URGENT: Self = Self(0);
    /// The least urgent level.
    pub const LEAST_URGENT: Self = Self(7);
    /// Number of levels.
    pub const COUNT: usize = 8;

    /// Builds a level; anything above 7 becomes 7.
    pub fn new(level: u8) -> Self {
        Self(level.min(Self::LEAST_URGENT.0))
    }

    /// The level as a number from 0 to 7.
    pub fn get(self) -> u8 {
        self.0
    }

    /// The level as an index into arrays of [`RankLevel::COUNT`] entries.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Lowers this level to `other` when `other` is less urgent.
    #[must_use]
    pub fn lowered_to(self, other: Self) -> Self {
        self.max(other)
    }
}
