//! The store's stand-in over HTTP, with the subset of the etcd v3 JSON gateway that the store's
//! client uses.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Collected;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use sequoiagw_store::decode_base64;
use sequoiagw_store::encode_base64;
use sequoiagw_store::parse_u64;
use sequoiagw_store::GatewayCompare;
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
use sequoiagw_store::KeyCondition;
use sequoiagw_store::KeyEntry;
use sequoiagw_store::LeaseId;
use sequoiagw_store::PutEntry;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use serde_json::json;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;

use crate::watch_body::WatchBody;
use crate::MemoryStore;

/// Maximum number of requests that are answered at once, watches excluded.
const MAX_CONCURRENT_REQUESTS: usize = 4;
/// Updates of a watch that wait for its connection.
const WATCH_CHANNEL_CAPACITY: usize = 16;

/// HTTP server of an in-memory store. It stops when this value is dropped.
///
/// All connections are served by one thread, so that a connection that stays open or is slow to
/// send its request keeps no other connection waiting.
pub struct StoreServer {
    address: SocketAddr,
    /// Stops the server when dropped.
    _stop: oneshot::Sender<()>,
}

impl StoreServer {
    /// Serves a store at an address; port 0 selects any free port.
    ///
    /// Errors: the address cannot be bound, or the async runtime cannot be built.
    pub fn open(address: SocketAddr, store: &MemoryStore) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let store = store.clone();
        std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    () = accept(listener, store) => {}
                    // Resolves with an error when the sender is dropped.
                    _ = stopped => {}
                }
            });
        });
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

type ReplyBody = Either<Full<Bytes>, WatchBody>;

/// Accepts connections until the listener fails.
async fn accept(listener: std::net::TcpListener, store: MemoryStore) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let permits = Rc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    while let Ok((stream, _)) = listener.accept().await {
        let permits = Rc::clone(&permits);
        tokio::task::spawn_local(serve_connection(stream, store.clone(), permits));
    }
}

async fn serve_connection(stream: TcpStream, store: MemoryStore, permits: Rc<Semaphore>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let store = store.clone();
        let permits = Rc::clone(&permits);
        async move { Ok::<_, Infallible>(serve(request, &store, &permits).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn serve(
    request: Request<Incoming>,
    store: &MemoryStore,
    permits: &Semaphore,
) -> Response<ReplyBody> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map(Collected::to_bytes).unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if path == "/v3/watch" {
        return Response::new(Either::Right(open_watch(store, &body)));
    }
    let _permit = permits.acquire().await;
    tokio::time::sleep(store.delay()).await;
    let (status, reply) = match answer(store, &path, &body) {
        Ok(reply) => (StatusCode::OK, reply),
        Err(error) => error_reply(&error),
    };
    let mut response = Response::new(Either::Left(Full::new(reply.to_string().into())));
    *response.status_mut() = status;
    response
}

fn error_reply(error: &StoreError) -> (StatusCode, Value) {
    let (status, code) = match error {
        StoreError::Unavailable { .. } | StoreError::Superseded { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, 14)
        }
        StoreError::LeaseLapsed { .. } => (StatusCode::NOT_FOUND, 5),
        StoreError::Compacted { .. } => (StatusCode::BAD_REQUEST, 11),
        StoreError::Refused { .. } | StoreError::Malformed { .. } => (StatusCode::BAD_REQUEST, 3),
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

fn open_watch(store: &MemoryStore, body: &Value) -> WatchBody {
    let watch: GatewayWatch = parse(body).unwrap_or_default();
    let key = decode_base64(&watch.create_request.key).unwrap_or_default();
    let from_revision = parse_u64(&watch.create_request.start_revision).unwrap_or(0);
    let (sender, receiver) = mpsc::channel(WATCH_CHANNEL_CAPACITY);
    tokio::task::spawn_local(store.clone().run_watch(key, from_revision, sender));
    WatchBody::new(receiver)
}

fn parse<Parsed>(body: &Value) -> Result<Parsed, StoreError>
where
    Parsed: serde::de::DeserializeOwned,
{
    serde_json::from_value(body.clone()).map_err(|error| malformed(&error.to_string()))
}

pub(crate) fn to_json<Reply>(reply: &Reply) -> Value
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

pub(crate) fn gateway_key_value(entry: &KeyEntry) -> GatewayKeyValue {
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
