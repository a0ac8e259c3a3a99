//! Keys in the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// Key of the newest version's number. Its value is small because it is read often.
pub const HEAD_KEY: &str = "sequoiagw/config/head";
/// Number of watch holder seats in each data centre.
pub const SEATS_PER_DATA_CENTRE: u32 = 2;
/// Number of versions whose history is kept.
pub const HISTORY_LENGTH: u64 = 200;

/// Builds the keys used in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys;

impl StoreKeys {
    /// Key of the newest version with its complete configuration.
    pub fn current() -> String {
        "sequoiagw/config/current".to_owned()
    }

    /// Prefix of the history keys.
    pub fn history_prefix() -> String {
        "sequoiagw/config/history/".to_owned()
    }

    /// Key of one version's changes.
    pub fn history(version: u64) -> String {
        format!("{}{version:012}", Self::history_prefix())
    }

    /// Prefix of all holder seats, whose addresses are the seeds of newly started nodes.
    pub fn holders_prefix() -> String {
        "sequoiagw/holders/".to_owned()
    }

    /// Key of one holder seat.
    pub fn holder(data_centre: &str, seat: u32) -> String {
        format!("{}{data_centre}/{seat}", Self::holders_prefix())
    }

    /// Key of the claim on an idempotency key; `key` starts with its service.
    pub fn claim(key: &str) -> String {
        format!("sequoiagw/claims/{key}")
    }
}

/// Value of the head key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HeadValue {
    /// Number of the newest version.
    pub(crate) version: u64,
    /// Id of the change that created it.
    pub(crate) change_id: String,
}

/// Value of a holder seat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SeatValue {
    /// Name of the holder node.
    pub(crate) name: String,
    /// Its address for links between nodes.
    pub(crate) address: String,
}

/// Value of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClaimValue {
    /// Hash of the request's method, path and body.
    pub(crate) fingerprint: u64,
    /// Claiming node.
    pub(crate) node: u64,
    /// Boot of the claiming node.
    pub(crate) boot: u64,
    /// Number of the claim within the boot.
    pub(crate) nonce: u64,
}
