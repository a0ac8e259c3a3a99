//! Body of the answer to a watch request: one line of JSON for each update.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use sequoiagw_store::GatewayEvent;
use sequoiagw_store::GatewayWatchLine;
use sequoiagw_store::GatewayWatchResult;
use sequoiagw_store::StoreError;
use sequoiagw_store::WatchReceiver;
use sequoiagw_store::WatchUpdate;

use crate::store_server::gateway_key_value;
use crate::store_server::to_json;

/// Body that ends with the watch's updates.
#[derive(Debug)]
pub(crate) struct WatchBody {
    updates: WatchReceiver,
}

impl WatchBody {
    /// Creates the body of a watch with these updates.
    pub(crate) fn new(updates: WatchReceiver) -> Self {
        Self { updates }
    }
}

impl Body for WatchBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let update = ready!(self.updates.poll_recv(context));
        Poll::Ready(update.map(|update| {
            let line = to_json(&watch_line(update)).to_string() + "\n";
            Ok(Frame::data(line.into()))
        }))
    }
}

fn watch_line(update: Result<WatchUpdate, StoreError>) -> GatewayWatchLine {
    let mut result = GatewayWatchResult::default();
    match update {
        Ok(WatchUpdate::Started) => result.created = true,
        Ok(WatchUpdate::Changed(entry)) => {
            result.events.push(GatewayEvent {
                kind: "PUT".to_owned(),
                kv: gateway_key_value(&entry),
            });
        }
        Ok(WatchUpdate::Deleted) => {
            result.events.push(GatewayEvent {
                kind: "DELETE".to_owned(),
                ..GatewayEvent::default()
            });
        }
        Err(StoreError::Compacted { oldest }) => {
            result.canceled = true;
            result.compact_revision = oldest.to_string();
        }
        Err(_) => result.canceled = true,
    }
    GatewayWatchLine { result }
}
