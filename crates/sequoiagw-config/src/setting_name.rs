//! Settings that have a fleet default and may be overridden by exceptions.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Name of a setting.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum SettingName {
    /// Deadline of a call, relative to its arrival, when the caller sets none.
    Timeout,
    /// Maximum retries of one call after the first attempt.
    Retries,
    /// Maximum share of a service's calls that may be retries.
    RetryBudget,
    /// Maximum number of calls queued at one target.
    QueueLimit,
    /// Load per slot above which calls spill over to other data centres.
    SpillLoad,
    /// Maximum size of a request body, in bytes.
    MaxBodyBytes,
    /// Time for which an idempotency key is retained.
    KeyWindow,
    /// Slots of each target that are reserved for the most urgent rank.
    ReservedSlots,
}

/// All setting names.
pub const SETTING_NAMES: &[SettingName] = &[
    SettingName::Timeout,
    SettingName::Retries,
    SettingName::RetryBudget,
    SettingName::QueueLimit,
    SettingName::SpillLoad,
    SettingName::MaxBodyBytes,
    SettingName::KeyWindow,
    SettingName::ReservedSlots,
];

/// Unvalidated value of a setting, as parsed from TOML.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum RawValue {
    /// Integer.
    Integer(i64),
    /// Floating-point number.
    Float(f64),
    /// String, such as a duration.
    #[display("\"{_0}\"")]
    Text(String),
}

/// Validated value of a setting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingValue {
    /// Duration.
    Duration(Duration),
    /// Non-negative integer.
    Count(u64),
    /// Ratio.
    Ratio(f64),
}

impl std::fmt::Display for SettingValue {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Duration(duration) => humantime::format_duration(*duration).fmt(formatter),
            Self::Count(count) => count.fmt(formatter),
            Self::Ratio(ratio) => ratio.fmt(formatter),
        }
    }
}

impl SettingValue {
    /// The duration, or zero for a value of another kind.
    pub fn duration(self) -> Duration {
        match self {
            Self::Duration(duration) => duration,
            Self::Count(_) | Self::Ratio(_) => Duration::ZERO,
        }
    }

    /// The count, or zero for a value of another kind.
    pub fn count(self) -> u64 {
        match self {
            Self::Count(count) => count,
            Self::Duration(_) | Self::Ratio(_) => 0,
        }
    }

    /// The ratio, or zero for a value of another kind.
    pub fn ratio(self) -> f64 {
        match self {
            Self::Ratio(ratio) => ratio,
            Self::Duration(_) | Self::Count(_) => 0.0,
        }
    }
}

impl SettingName {
    /// Value that applies when the configuration sets no fleet default.
    pub fn built_in(self) -> SettingValue {
        match self {
            Self::Timeout => SettingValue::Duration(Duration::from_secs(2)),
            Self::Retries => SettingValue::Count(2),
            Self::RetryBudget => SettingValue::Ratio(0.1),
            Self::QueueLimit => SettingValue::Count(64),
            Self::SpillLoad => SettingValue::Ratio(1.5),
            Self::MaxBodyBytes => SettingValue::Count(1024 * 1024),
            Self::KeyWindow => SettingValue::Duration(Duration::from_secs(15 * 60)),
            Self::ReservedSlots => SettingValue::Count(1),
        }
    }

    /// Description of the allowed values, for error messages.
    pub fn expected(self) -> &'static str {
        match self {
            Self::Timeout => "a duration from 1ms to 10m, such as \"2s\"",
            Self::Retries => "a whole number from 0 to 10",
            Self::RetryBudget => "a ratio from 0.0 to 1.0",
            Self::QueueLimit => "a whole number from 0 to 100000",
            Self::SpillLoad => "a ratio from 0.1 to 100.0",
            Self::MaxBodyBytes => "a whole number of bytes from 0 to 2097152",
            Self::KeyWindow => "a duration from 1m to 1day, such as \"15m\"",
            Self::ReservedSlots => "a whole number from 0 to 64",
        }
    }

    /// Validates a raw value.
    ///
    /// Returns `None` if the value has the wrong type or is out of range.
    pub fn parse_value(self, raw: &RawValue) -> Option<SettingValue> {
        match self {
            Self::Timeout => {
                duration_within(raw, Duration::from_millis(1), Duration::from_secs(600))
            }
            Self::Retries => count_within(raw, 10),
            Self::RetryBudget => ratio_within(raw, 0.0, 1.0),
            Self::QueueLimit => count_within(raw, 100_000),
            Self::SpillLoad => ratio_within(raw, 0.1, 100.0),
            Self::MaxBodyBytes => count_within(raw, 2 * 1024 * 1024),
            Self::KeyWindow => {
                duration_within(raw, Duration::from_secs(60), Duration::from_secs(86_400))
            }
            Self::ReservedSlots => count_within(raw, 64),
        }
    }
}

fn duration_within(raw: &RawValue, min: Duration, max: Duration) -> Option<SettingValue> {
    let RawValue::Text(text) = raw else {
        return None;
    };
    let duration = humantime::parse_duration(text).ok()?;
    (min..=max)
        .contains(&duration)
        .then_some(SettingValue::Duration(duration))
}

fn count_within(raw: &RawValue, max: u64) -> Option<SettingValue> {
    let RawValue::Integer(integer) = raw else {
        return None;
    };
    let count = u64::try_from(*integer).ok()?;
    (count <= max).then_some(SettingValue::Count(count))
}

fn ratio_within(raw: &RawValue, min: f64, max: f64) -> Option<SettingValue> {
    let ratio = match raw {
        RawValue::Float(float) => *float,
        RawValue::Integer(integer) => *integer as f64,
        RawValue::Text(_) => return None,
    };
    (min..=max)
        .contains(&ratio)
        .then_some(SettingValue::Ratio(ratio))
}
