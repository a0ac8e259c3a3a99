//! Keys in the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// Key of the newest version's number, small enough to be read often.
pub const HEAD_KEY: &str = "sequoiagw/config/head";
/// Watch holders of each data centre.
pub const SEATS_PER_DATA_CENTRE: u32 = 2;
/// Versions whose history is kept.
pub const HISTORY_LENGTH: u64 = 200;

/// Names of the keys.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys;

impl StoreKeys {
    /// Key of the newest version in full.
    pub fn current() -> String {
        "sequoiagw/config/current".to_owned()
    }

    /// Prefix of the history.
    pub fn history_prefix() -> String {
        "sequoiagw/config/history/".to_owned()
    }

    /// Key of one version's changes.
    pub fn history(version: u64) -> String {
        format!("{}{version:012}", Self::history_prefix())
    }

    /// Prefix of all holders, the entry points of fresh nodes.
    pub fn holders_prefix() -> String {
        "sequoiagw/holders/".to_owned()
    }

    /// Key of one holder's seat.
    pub fn holder(data_centre: &str, seat: u32) -> String {
        format!("{}{data_centre}/{seat}", Self::holders_prefix())
    }

    /// Key of a claim on an idempotency key, given with its service.
    pub fn claim(key: &str) -> String {
        format!("sequoiagw/claims/{key}")
    }
}

/// Value of the head key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HeadValue {
    /// Newest version.
    pub(crate) version: u64,
    /// Id of the change that made it.
    pub(crate) change_id: String,
}

/// Value of a holder's seat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SeatValue {
    /// Node's name.
    pub(crate) name: String,
    /// Address for inner links.
    pub(crate) address: String,
}

/// Value of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClaimValue {
    /// Hash of method, path and body.
    pub(crate) fingerprint: u64,
    /// Claiming node.
    pub(crate) node: u64,
    /// Its boot.
    pub(crate) boot: u64,
    /// Number of the claim within the boot.
    pub(crate) nonce: u64,
}
