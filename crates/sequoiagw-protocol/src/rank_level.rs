//! Urgency levels of calls.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Urgency level of a call. As in RFC 9218, 0 is served first and 7 last.
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

    /// Builds a level; numbers above 7 become 7.
    pub fn new(level: u8) -> Self {
        Self(level.min(Self::LEAST_URGENT.0))
    }

    /// Returns the level as a number from 0 to 7.
    pub fn get(self) -> u8 {
        self.0
    }

    /// Returns the level as an index into arrays of [`RankLevel::COUNT`] elements.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the less urgent of this level and `other`.
    #[must_use]
    pub fn lowered_to(self, other: Self) -> Self {
        self.max(other)
    }
}
