//! Reads bodies of messages within the memory that the process has for them.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sequoiagw_http::BufferBudget;
use thiserror::Error;

/// Why a body can't be read.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The body is over its limit in bytes.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The process has no room for the body now.
    #[error("there is no room for the body")]
    NoRoom,
    /// The connection failed before the whole body arrived.
    #[error("the connection failed before the whole body arrived: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit` bytes, which uses a part of `budget` until its last clone is dropped.
///
/// Errors: see [`BodyError`].
pub(crate) async fn read_body(
    mut body: Incoming,
    limit: u64,
    budget: &BufferBudget,
) -> Result<Bytes, BodyError> {
    let mut reservation = budget.reservation();
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let body_bytes = (read.len() + data.remaining()) as u64;
        if body_bytes > limit {
            return Err(BodyError::TooLarge);
        }
        if !reservation.try_grow(body_bytes) {
            return Err(BodyError::NoRoom);
        }
        read.extend_from_slice(&data);
    }
    Ok(reservation.attach(read.freeze()))
}
