//! Identity of a request across its repeats, which have other request ids.

use derive_more::Display;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::HeaderField;
use sha2::Digest;
use sha2::Sha256;

use crate::CallRequest;

/// Digest of a request. Callers can't choose two requests with the same one.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:032x}")]
pub struct RequestDigest(pub u128);

/// What is equal in all repeats of a request, whichever node they reach.
#[derive(Clone, Copy, Debug, Hash)]
pub struct RequestIdentity<'a> {
    method: &'a str,
    host: &'a str,
    path: &'a str,
    query: Option<&'a str>,
    caller_name_hash: u64,
    body: &'a [u8],
}

impl<'a> RequestIdentity<'a> {
    /// Identity of a request at its entry.
    pub fn of_request(request: &'a CallRequest) -> Self {
        let (path, query) = split_query(&request.path);
        Self {
            method: &request.method,
            host: host_of(&request.headers),
            path,
            query,
            caller_name_hash: request.caller_name_hash,
            body: &request.body,
        }
    }

    /// Identity of a dispatched request, the same as at its entry.
    pub fn of_dispatch(dispatch: &'a CallDispatch) -> Self {
        let (path, query) = split_query(&dispatch.path);
        Self {
            method: &dispatch.method,
            host: host_of(&dispatch.headers),
            path,
            query,
            caller_name_hash: dispatch.caller_name_hash,
            body: &dispatch.body,
        }
    }

    /// This identity and, if the request has a query, the one that it shares with requests that
    /// differ in nothing else.
    pub fn variants(&self) -> impl Iterator<Item = Self> {
        let without_query = Self {
            query: None,
            ..*self
        };
        let shared = self.query.map(|_| without_query);
        std::iter::once(*self).chain(shared)
    }

    /// Digest of the request.
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(self.query.is_some())]);
        for text in [
            self.method,
            self.host,
            self.path,
            self.query.unwrap_or_default(),
        ] {
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        hasher.update(self.caller_name_hash.to_le_bytes());
        hasher.update(self.body);
        let hash: [u8; 32] = hasher.finalize().into();
        let (first, _) = hash.split_first_chunk().unwrap_or((&[0; 16], &[]));
        RequestDigest(u128::from_be_bytes(*first))
    }
}

fn split_query(path: &str) -> (&str, Option<&str>) {
    match path.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (path, None),
    }
}

fn host_of(headers: &[HeaderField]) -> &str {
    let mut headers = headers.iter();
    let host = headers.find(|field| field.name.eq_ignore_ascii_case("host"));
    host.map_or("", |field| &field.value)
}
