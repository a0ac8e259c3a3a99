//! The store's stand-in over HTTP, with the subset of the etcd v3 JSON gateway that the store's
//! client uses.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use sequoiagw_store::decode_base64;
use sequoiagw_store::encode_base64;
use sequoiagw_store::parse_u64;
use sequoiagw_store::GatewayCompare;
use sequoiagw_store::GatewayEvent;
use sequoiagw_store::GatewayHeader;
use sequoiagw_store::GatewayKeyValue;
use sequoiagw_store::GatewayLease;
use sequoiagw_store::GatewayOp;
use sequoiagw_store::GatewayOpReply;
use sequoiagw_store::GatewayPut;
use sequoiagw_store::GatewayRange;
use sequoiagw_store::GatewayRangeReply;
use sequoiagw_store::GatewayTxn;
use sequoiagw_store::GatewayTxnReply;
use sequoiagw_store::GatewayWatch;
use sequoiagw_store::GatewayWatchLine;
use sequoiagw_store::GatewayWatchResult;
use sequoiagw_store::KeyCondition;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use sequoiagw_store::WatchUpdate;
use serde_json::json;
use serde_json::Value;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use tokio::sync::mpsc;

use crate::MemoryStore;

/// Maximum number of concurrent requests, watches excluded.
const WORKER_COUNT: usize = 4;

/// HTTP server of an in-memory store. It stops when this value is dropped.
pub struct StoreServer {
    server: Arc<Server>,
}

impl StoreServer {
    /// Serves a store at an address; port 0 selects any free port.
    ///
    /// Errors: the address cannot be bound.
    pub fn open(address: SocketAddr, store: &MemoryStore) -> std::io::Result<Self> {
        let server = Server::http(address).map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        for _ in 0..WORKER_COUNT {
            let server = Arc::clone(&server);
            let store = store.clone();
            std::thread::spawn(move || serve(&server, &store));
        }
        Ok(Self { server })
    }

    /// Bound address, or `None` if it isn't an IP address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        for _ in 0..WORKER_COUNT {
            self.server.unblock();
        }
    }
}

fn serve(server: &Server, store: &MemoryStore) {
    while let Ok(mut request) = server.recv() {
        let path = request.url().to_owned();
        let body: Value = serde_json::from_reader(request.as_reader()).unwrap_or(Value::Null);
        if path == "/v3/watch" {
            let store = store.clone();
            std::thread::spawn(move || serve_watch(request, &store, &body));
            continue;
        }
        std::thread::sleep(store.delay());
        let (status, reply) = match answer(store, &path, &body) {
            Ok(reply) => (200, reply),
            Err(error) => error_reply(&error),
        };
        let _ = request.respond(Response::from_string(reply.to_string()).with_status_code(status));
    }
}

fn error_reply(error: &StoreError) -> (u16, Value) {
    let (status, code) = match error {
        StoreError::Unavailable { .. } | StoreError::Superseded { .. } => (503, 14),
        StoreError::LeaseLapsed { .. } => (404, 5),
        StoreError::Compacted { .. } => (400, 11),
        StoreError::Refused { .. } | StoreError::Malformed { .. } => (400, 3),
    };
    (status, json!({ "error": error.to_string(), "code": code }))
}

fn answer(store: &MemoryStore, path: &str, body: &Value) -> Result<Value, StoreError> {
    match path {
        "/v3/kv/range" => {
            let range: GatewayRange = parse(body)?;
            let key = decode_base64(&range.key)?;
            let request = if range.range_end.is_empty() {
                StoreRequest::Read { key }
            } else {
                StoreRequest::ReadPrefix { prefix: key }
            };
            let reply = store.apply(&request)?;
            Ok(to_json(&range_reply(reply)))
        }
        "/v3/kv/txn" => answer_txn(store, &parse(body)?),
        "/v3/lease/grant" => {
            let lease: GatewayLease = parse(body)?;
            let ttl_s = parse_u64(&lease.ttl)?;
            Ok(to_json(&lease_reply(
                &store.apply(&StoreRequest::Grant { ttl_s })?,
            )))
        }
        "/v3/lease/keepalive" => {
            let lease = parse_lease_id(&parse(body)?)?;
            match store.apply(&StoreRequest::KeepAlive { lease }) {
                Ok(reply) => Ok(json!({ "result": lease_reply(&reply) })),
                // The gateway reports a lapsed lease as one with no time to live.
                Err(StoreError::LeaseLapsed { lease }) => {
                    Ok(json!({ "result": { "ID": lease.to_string() } }))
                }
                Err(error) => Err(error),
            }
        }
        "/v3/lease/revoke" => {
            let lease = parse_lease_id(&parse(body)?)?;
            store.apply(&StoreRequest::Revoke { lease })?;
            Ok(json!({}))
        }
        _ => Err(malformed("unknown path")),
    }
}

fn answer_txn(store: &MemoryStore, txn: &GatewayTxn) -> Result<Value, StoreError> {
    let is_nested =
        !txn.success.is_empty() && txn.success.iter().all(|op| op.request_txn.is_some());
    if is_nested {
        let puts = txn
            .success
            .iter()
            .map(parse_nested_put)
            .collect::<Result<Vec<_>, _>>()?;
        let reply = store.apply(&StoreRequest::CreateEach { puts })?;
        let StoreReply::Created { existing_entries } = reply else {
            return Err(malformed(
                "the store did not answer a create request with its results",
            ));
        };
        let responses = existing_entries
            .iter()
            .map(|entry| created_reply(entry.as_ref()))
            .collect();
        let reply = GatewayTxnReply {
            succeeded: true,
            responses,
            ..GatewayTxnReply::default()
        };
        return Ok(to_json(&reply));
    }
    let conditions = txn
        .compare
        .iter()
        .map(parse_condition)
        .collect::<Result<Vec<_>, _>>()?;
    let mut puts = Vec::new();
    let mut deletes = Vec::new();
    for op in &txn.success {
        match (&op.request_put, &op.request_delete_range) {
            (Some(put), _) => puts.push(parse_put(put)?),
            (None, Some(range)) => deletes.push(decode_base64(&range.key)?),
            (None, None) => return Err(malformed("unsupported operation in a transaction")),
        }
    }
    let reply = store.apply(&StoreRequest::Commit {
        conditions,
        puts,
        deletes,
    })?;
    let StoreReply::Committed { applied, revision } = reply else {
        return Err(malformed(
            "the store did not answer a commit with its result",
        ));
    };
    let reply = GatewayTxnReply {
        header: gateway_header(revision),
        succeeded: applied,
        responses: Vec::new(),
    };
    Ok(to_json(&reply))
}

fn serve_watch(request: Request, store: &MemoryStore, body: &Value) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let watch: GatewayWatch = parse(body).unwrap_or_default();
    let key = decode_base64(&watch.create_request.key).unwrap_or_default();
    let from_revision = parse_u64(&watch.create_request.start_revision).unwrap_or(0);
    let (sender, mut receiver) = mpsc::channel(16);
    let send_updates = store.clone().run_watch(key, from_revision, sender);
    let mut writer = request.into_writer();
    let response_head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if writer.write_all(response_head.as_bytes()).is_err() {
        return;
    }
    runtime.block_on(async {
        let write_updates = async {
            while let Some(update) = receiver.recv().await {
                let is_last = update.is_err();
                let line = to_json(&watch_line(update)).to_string() + "\n";
                let chunk = format!("{:x}\r\n{line}\r\n", line.len());
                let written = writer
                    .write_all(chunk.as_bytes())
                    .and_then(|()| writer.flush());
                if written.is_err() || is_last {
                    break;
                }
            }
            let _ = writer.write_all(b"0\r\n\r\n").and_then(|()| writer.flush());
            receiver.close();
        };
        tokio::join!(send_updates, write_updates);
    });
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

fn parse<Parsed>(body: &Value) -> Result<Parsed, StoreError>
where
    Parsed: serde::de::DeserializeOwned,
{
    serde_json::from_value(body.clone()).map_err(|error| malformed(&error.to_string()))
}

fn to_json<Reply>(reply: &Reply) -> Value
where
    Reply: serde::Serialize,
{
    serde_json::to_value(reply).unwrap_or(Value::Null)
}

fn gateway_header(revision: u64) -> GatewayHeader {
    GatewayHeader {
        revision: revision.to_string(),
    }
}

fn gateway_key_value(entry: &KeyEntry) -> GatewayKeyValue {
    GatewayKeyValue {
        key: encode_base64(&entry.key),
        value: encode_base64(&entry.value),
        create_revision: entry.create_revision.to_string(),
        mod_revision: entry.mod_revision.to_string(),
        lease: entry
            .lease
            .map_or_else(String::new, |lease| lease.to_string()),
    }
}

fn range_reply(reply: StoreReply) -> GatewayRangeReply {
    match reply {
        StoreReply::Entries { entries, revision } => GatewayRangeReply {
            header: gateway_header(revision),
            kvs: entries.iter().map(gateway_key_value).collect(),
        },
        _ => GatewayRangeReply::default(),
    }
}

fn created_reply(existing: Option<&KeyEntry>) -> GatewayOpReply {
    let range = existing.map(|entry| GatewayOpReply {
        response_range: Some(GatewayRangeReply {
            kvs: vec![gateway_key_value(entry)],
            ..GatewayRangeReply::default()
        }),
        ..GatewayOpReply::default()
    });
    let nested = GatewayTxnReply {
        succeeded: existing.is_none(),
        responses: range.into_iter().collect(),
        ..GatewayTxnReply::default()
    };
    GatewayOpReply {
        response_txn: Some(nested),
        ..GatewayOpReply::default()
    }
}

fn lease_reply(reply: &StoreReply) -> GatewayLease {
    match reply {
        StoreReply::Leased { lease, ttl_s } => GatewayLease {
            id: lease.to_string(),
            ttl: ttl_s.to_string(),
        },
        _ => GatewayLease::default(),
    }
}

fn parse_lease_id(lease: &GatewayLease) -> Result<LeaseId, StoreError> {
    Ok(LeaseId(parse_u64(&lease.id)?))
}

fn parse_put(put: &GatewayPut) -> Result<PutEntry, StoreError> {
    let lease = match parse_u64(&put.lease)? {
        0 => None,
        lease => Some(LeaseId(lease)),
    };
    Ok(PutEntry {
        key: decode_base64(&put.key)?,
        value: decode_base64(&put.value)?,
        lease,
    })
}

fn parse_nested_put(op: &GatewayOp) -> Result<PutEntry, StoreError> {
    let put = op
        .request_txn
        .as_ref()
        .and_then(|txn| txn.success.first())
        .and_then(|op| op.request_put.as_ref());
    parse_put(put.ok_or_else(|| malformed("nested transaction without a put"))?)
}

fn parse_condition(compare: &GatewayCompare) -> Result<KeyCondition, StoreError> {
    let key = decode_base64(&compare.key)?;
    match (&compare.create_revision, &compare.mod_revision) {
        (Some(_), _) => Ok(KeyCondition::Absent(key)),
        (None, Some(revision)) => Ok(KeyCondition::Unchanged(key, parse_u64(revision)?)),
        (None, None) => Err(malformed("unsupported comparison in a transaction")),
    }
}

fn malformed(detail: &str) -> StoreError {
    StoreError::Malformed {
        detail: detail.to_owned(),
    }
}
