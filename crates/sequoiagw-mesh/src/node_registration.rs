//! Registration of a node in the platform's store.

use std::net::SocketAddr;

use sequoiagw_store::KeyEntry;
use sequoiagw_store::StoreEra;
use sequoiagw_store::StoreRevision;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::store_follower::NODES_PREFIX;
use crate::TargetIncarnation;

/// Largest number of slots that a backend server may have.
pub(crate) const MAX_BACKEND_SLOTS: u32 = 100_000;

/// Why an entry of the store isn't the registration of a node.
#[derive(Debug, Error)]
pub enum RegistrationError {
    /// The value isn't a registration in JSON.
    #[error("the value isn't a registration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The registration names another node than the key.
    #[error("the registration is of node {0}")]
    OtherName(String),
    /// Nodes register under a lease.
    #[error("the entry has no lease")]
    NoLease,
    /// The address isn't an IP address with a port.
    #[error("{0} isn't an address of a node")]
    InvalidAddress(String),
    /// No backend server has so many slots.
    #[error("{0} slots are too many")]
    TooManySlots(u32),
    /// The registration names an era that hasn't begun.
    #[error("era {0} of the store hasn't begun")]
    LaterEra(StoreEra),
}

/// Registration of a node in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeRegistration {
    /// Name, unique in the fleet.
    pub name: String,
    /// Random number that identifies this start of the node.
    pub boot: u64,
    /// Address for links from other nodes, `ip:port`.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Service of the backend server next to the node.
    pub service: String,
    /// Slots of that backend server; 0 when it accepts no work.
    pub slots: u32,
    /// Bandwidth of the host's link, in Mbit/s; 0 when unknown.
    #[serde(default)]
    pub link_mbps: u32,
    /// Latest incarnation of the backend server that was known to be leaving, or to have left, when
    /// the registration was written.
    #[serde(default)]
    pub leaving: Option<TargetIncarnation>,
    /// Era of the store in which the registration was written.
    #[serde(default)]
    pub store_era: StoreEra,
    /// Software version of the backend server; empty if it is unknown or roll-outs are off.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub backend_version: String,
    /// Whether the process that wrote the registration knew all departures before its start, so that
    /// `leaving` names the latest one.
    #[serde(default)]
    pub departures_known: bool,
    /// Whether the process that wrote the registration stops as planned.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopping: bool,
}

impl NodeRegistration {
    /// Decodes an entry of the store, which told of it in `era`.
    ///
    /// Errors: the entry wasn't written by the node whose name it has.
    pub fn from_entry(entry: &KeyEntry, era: StoreEra) -> Result<Self, RegistrationError> {
        let registration: Self = serde_json::from_str(&entry.value)?;
        let name = entry.key.strip_prefix(NODES_PREFIX);
        if name != Some(&registration.name) {
            return Err(RegistrationError::OtherName(registration.name));
        }
        if entry.lease.is_none() {
            return Err(RegistrationError::NoLease);
        }
        let address: Option<SocketAddr> = registration.address.parse().ok();
        if address.is_none_or(|address| address.port() == 0) {
            return Err(RegistrationError::InvalidAddress(registration.address));
        }
        if registration.slots > MAX_BACKEND_SLOTS {
            return Err(RegistrationError::TooManySlots(registration.slots));
        }
        if registration.store_era > era {
            return Err(RegistrationError::LaterEra(registration.store_era));
        }
        Ok(registration)
    }

    /// Whether the registration names neither slots nor a departure of a backend server.
    pub fn is_without_backend(&self) -> bool {
        self.slots == 0 && self.leaving.is_none()
    }

    /// Revision at which the registration was written, from its number. The store may have come back
    /// from an older copy since, which has the registration of the era before.
    pub fn written_at(&self, number: u64) -> StoreRevision {
        let era = self.store_era;
        StoreRevision { era, number }
    }
}
