//! Comparison of the runs of a new version with those of the old one.

/// Judgement of a new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutVerdict {
    /// The evidence is not sufficient.
    Undecided,
    /// The new version is not worse than the old one.
    Good,
    /// The new version is worse than the old one.
    Bad {
        /// Evidence, for operators.
        reason: String,
    },
}

/// Compares runs of a new version with those of the old one.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge;
