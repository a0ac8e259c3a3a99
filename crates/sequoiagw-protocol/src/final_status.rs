//! Status of a final HTTP response.

use derive_more::Display;
use thiserror::Error;

/// Lowest status of final responses; those below are of interim ones.
const MIN_STATUS: u16 = 200;
/// Highest status that HTTP defines (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// Lowest status with which a server says that it failed.
const MIN_SERVER_ERROR: u16 = 500;

/// Status of a final HTTP response, 200 to 599.
///
/// A message with another status isn't an answer to its request: it can't be passed on, and changing its
/// status would put a server's signature under what that server didn't say.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FinalStatus(u16);

/// Error for a number that isn't the status of a final response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{0} isn't the status of a final response")]
pub struct StatusError(pub u32);

impl FinalStatus {
    /// Status 200.
    pub const OK: Self = Self(200);

    /// Returns the status as a number.
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Whether the server says that it failed.
    pub const fn is_server_error(self) -> bool {
        self.0 >= MIN_SERVER_ERROR
    }
}

impl TryFrom<u16> for FinalStatus {
    type Error = StatusError;

    fn try_from(status: u16) -> Result<Self, Self::Error> {
        match status {
            MIN_STATUS..=MAX_STATUS => Ok(Self(status)),
            _ => Err(StatusError(u32::from(status))),
        }
    }
}

impl TryFrom<u32> for FinalStatus {
    type Error = StatusError;

    fn try_from(status: u32) -> Result<Self, Self::Error> {
        let narrow = u16::try_from(status).map_err(|_| StatusError(status))?;
        Self::try_from(narrow)
    }
}

impl PartialEq<u16> for FinalStatus {
    fn eq(&self, status: &u16) -> bool {
        self.0 == *status
    }
}
