//! Digest under which the key of a caller is stored and compared.

use std::fmt::Debug;
use std::fmt::Formatter;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's key. Nodes store and exchange digests only, so that a dump of their
/// state or frames contains no key. `Debug` omits the digest, since a short key could be guessed
/// from it.
#[derive(Clone, Copy)]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

impl ApiKeyDigest {
    /// Digest of a key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads the bytes of a digest; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Whether two digests are equal, in a time that doesn't depend on their content.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// First bytes of the digest, under which it is indexed. Their timing reveals nothing about a
    /// key, because a change of the key changes them in an unpredictable way.
    pub(crate) fn index(&self) -> u64 {
        let (first, _) = self.0.split_first_chunk().unwrap_or((&[0; 8], &[]));
        u64::from_be_bytes(*first)
    }
}

impl Debug for ApiKeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKeyDigest(..)")
    }
}
