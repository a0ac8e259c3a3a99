//! Client of the store that uses the HTTP API of the etcd v3 JSON gateway.

use std::io::BufRead;
use std::io::BufReader;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::mpsc;
use ureq::Agent;

use crate::gateway_json::encode_base64;
use crate::gateway_json::parse_u64;
use crate::gateway_json::GatewayLease;
use crate::gateway_json::GatewayOp;
use crate::gateway_json::GatewayRange;
use crate::gateway_json::GatewayRangeReply;
use crate::gateway_json::GatewayTxn;
use crate::gateway_json::GatewayTxnReply;
use crate::gateway_json::GatewayWatch;
use crate::gateway_json::GatewayWatchCreate;
use crate::gateway_json::GatewayWatchLine;
use crate::gateway_messages::create_if_absent_op;
use crate::gateway_messages::decode_entry;
use crate::gateway_messages::decode_existing_entry;
use crate::gateway_messages::gateway_compare;
use crate::gateway_messages::lease_reply;
use crate::gateway_messages::malformed;
use crate::gateway_messages::prefix_end;
use crate::gateway_messages::put_op;
use crate::gateway_messages::single_key_range;
use crate::gateway_messages::watch_updates;
use crate::KeyCondition;
use crate::LeaseId;
use crate::PlatformStore;
use crate::PutEntry;
use crate::StoreError;
use crate::StoreFuture;
use crate::StoreReply;
use crate::StoreRequest;
use crate::WatchReceiver;
use crate::WatchSender;

/// Updates that a watch buffers until its receiver takes them.
const WATCH_CHANNEL_CAPACITY: usize = 64;
/// Longest duration of one watch request. The watcher then opens a new one, so a connection
/// that stopped delivering updates without an error is replaced.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(60);
/// HTTP status with which the gateway reports an unknown lease.
const STATUS_NOT_FOUND: u16 = 404;

/// Client of the etcd v3 JSON gateway. Clones share their connections.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    agent: Agent,
    watch_agent: Agent,
    endpoints: Arc<Vec<String>>,
}

impl EtcdStore {
    /// Builds a client for endpoints such as `http://10.0.0.1:2379`. A call fails after
    /// `call_timeout` at each endpoint that it tries.
    pub fn new(endpoints: Vec<String>, call_timeout: Duration) -> Self {
        let config = || Agent::config_builder().http_status_as_error(false);
        let agent = config()
            .timeout_global(Some(call_timeout))
            .build()
            .new_agent();
        let watch_agent = config()
            .timeout_connect(Some(call_timeout))
            .timeout_global(Some(MAX_WATCH_DURATION))
            .build()
            .new_agent();
        Self {
            agent,
            watch_agent,
            endpoints: Arc::new(endpoints),
        }
    }

    /// Makes one call and blocks until it is answered or times out.
    pub fn call_blocking(&self, request: &StoreRequest) -> Result<StoreReply, StoreError> {
        match request {
            StoreRequest::Read { key } => self.range(key, None),
            StoreRequest::ReadPrefix { prefix } => self.range(prefix, Some(prefix_end(prefix))),
            StoreRequest::Commit {
                conditions,
                puts,
                deletes,
            } => self.commit(conditions, puts, deletes),
            StoreRequest::CreateEach { puts } => self.create_each(puts),
            StoreRequest::Grant { ttl_s } => self.grant(*ttl_s),
            StoreRequest::KeepAlive { lease } => self.keep_alive(*lease),
            StoreRequest::Revoke { lease } => self.revoke(*lease),
        }
    }

    fn range(&self, key: &str, end: Option<String>) -> Result<StoreReply, StoreError> {
        let body = GatewayRange {
            key: encode_base64(key),
            range_end: end.map_or_else(String::new, |end| encode_base64(&end)),
        };
        let reply: GatewayRangeReply = self.post("/v3/kv/range", &body)?;
        let revision = parse_u64(&reply.header.revision)?;
        let entries = reply
            .kvs
            .iter()
            .map(decode_entry)
            .collect::<Result<_, _>>()?;
        Ok(StoreReply::Entries { entries, revision })
    }

    fn commit(
        &self,
        conditions: &[KeyCondition],
        puts: &[PutEntry],
        deletes: &[String],
    ) -> Result<StoreReply, StoreError> {
        let mut success: Vec<GatewayOp> = puts.iter().map(put_op).collect();
        success.extend(deletes.iter().map(|key| GatewayOp {
            request_delete_range: Some(single_key_range(key)),
            ..GatewayOp::default()
        }));
        let body = GatewayTxn {
            compare: conditions.iter().map(gateway_compare).collect(),
            success,
            failure: Vec::new(),
        };
        let reply: GatewayTxnReply = self.post("/v3/kv/txn", &body)?;
        let revision = parse_u64(&reply.header.revision)?;
        Ok(StoreReply::Committed {
            applied: reply.succeeded,
            revision,
        })
    }

    fn create_each(&self, puts: &[PutEntry]) -> Result<StoreReply, StoreError> {
        let body = GatewayTxn {
            success: puts.iter().map(create_if_absent_op).collect(),
            ..GatewayTxn::default()
        };
        let reply: GatewayTxnReply = self.post("/v3/kv/txn", &body)?;
        if reply.responses.len() != puts.len() {
            return Err(malformed(
                "the number of replies differs from the number of operations",
            ));
        }
        let mut existing_entries = Vec::with_capacity(puts.len());
        for response in &reply.responses {
            let nested = response
                .response_txn
                .as_ref()
                .ok_or_else(|| malformed("the reply to a nested transaction is missing"))?;
            existing_entries.push(if nested.succeeded {
                None
            } else {
                Some(decode_existing_entry(nested)?)
            });
        }
        Ok(StoreReply::Created { existing_entries })
    }

    fn grant(&self, ttl_s: u64) -> Result<StoreReply, StoreError> {
        let body = GatewayLease {
            ttl: ttl_s.to_string(),
            ..GatewayLease::default()
        };
        let reply: GatewayLease = self.post("/v3/lease/grant", &body)?;
        lease_reply(&reply)
    }

    fn keep_alive(&self, lease: LeaseId) -> Result<StoreReply, StoreError> {
        #[derive(serde::Deserialize)]
        struct KeepAliveLine {
            result: GatewayLease,
        }
        let body = GatewayLease {
            id: lease.to_string(),
            ..GatewayLease::default()
        };
        let reply: KeepAliveLine = self.post("/v3/lease/keepalive", &body)?;
        match lease_reply(&reply.result)? {
            StoreReply::Leased { ttl_s: 0, .. } => Err(StoreError::LeaseLapsed { lease: lease.0 }),
            reply => Ok(reply),
        }
    }

    fn revoke(&self, lease: LeaseId) -> Result<StoreReply, StoreError> {
        let body = GatewayLease {
            id: lease.to_string(),
            ..GatewayLease::default()
        };
        let result: Result<serde_json::Value, StoreError> = self.post("/v3/lease/revoke", &body);
        match result {
            Ok(_) => Ok(StoreReply::Revoked),
            Err(StoreError::Refused {
                status: STATUS_NOT_FOUND,
                ..
            }) => Err(StoreError::LeaseLapsed { lease: lease.0 }),
            Err(error) => Err(error),
        }
    }

    fn post<Body, Reply>(&self, path: &str, body: &Body) -> Result<Reply, StoreError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let mut last_error = StoreError::Unavailable {
            detail: "no endpoint is set".to_owned(),
        };
        for endpoint in self.endpoints.iter() {
            match self.post_to(&format!("{endpoint}{path}"), body) {
                // Only reads are retried at the next endpoint. A write without an answer may
                // have taken effect, so its caller decides whether to retry it.
                Err(error @ StoreError::Unavailable { .. }) if path == "/v3/kv/range" => {
                    last_error = error;
                }
                result => return result,
            }
        }
        Err(last_error)
    }

    fn post_to<Body, Reply>(&self, url: &str, body: &Body) -> Result<Reply, StoreError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let mut response = self
            .agent
            .post(url)
            .send_json(body)
            .map_err(|error| unavailable(&error))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .read_to_string()
            .map_err(|error| unavailable(&error))?;
        if status >= 500 {
            return Err(StoreError::Unavailable {
                detail: format!("status {status}"),
            });
        }
        if status >= 400 {
            return Err(StoreError::Refused {
                status,
                detail: text,
            });
        }
        serde_json::from_str(&text).map_err(|error| malformed(&error.to_string()))
    }

    fn run_watch(
        &self,
        key: &str,
        from_revision: u64,
        sender: &WatchSender,
    ) -> Result<(), StoreError> {
        let body = GatewayWatch {
            create_request: GatewayWatchCreate {
                key: encode_base64(key),
                start_revision: from_revision.to_string(),
            },
        };
        let endpoint = self
            .endpoints
            .first()
            .ok_or_else(|| malformed("no endpoint is set"))?;
        let url = format!("{endpoint}/v3/watch");
        let response = self
            .watch_agent
            .post(&url)
            .send_json(&body)
            .map_err(|error| unavailable(&error))?;
        if !response.status().is_success() {
            let detail = format!("status {}", response.status());
            return Err(StoreError::Unavailable { detail });
        }
        let reader = BufReader::new(response.into_body().into_reader());
        for line in reader.lines() {
            let line = line.map_err(|error| StoreError::Unavailable {
                detail: error.to_string(),
            })?;
            let line: GatewayWatchLine =
                serde_json::from_str(&line).map_err(|error| malformed(&error.to_string()))?;
            for update in watch_updates(&line)? {
                if sender.blocking_send(Ok(update)).is_err() {
                    return Ok(());
                }
            }
        }
        Err(StoreError::Unavailable {
            detail: "the watch ended".to_owned(),
        })
    }
}

impl PlatformStore for EtcdStore {
    fn call(&self, request: StoreRequest) -> StoreFuture {
        let store = self.clone();
        Box::pin(async move {
            let task = tokio::task::spawn_blocking(move || store.call_blocking(&request));
            task.await.unwrap_or_else(|error| {
                Err(StoreError::Unavailable {
                    detail: error.to_string(),
                })
            })
        })
    }

    fn watch(&self, key: &str, from_revision: u64) -> WatchReceiver {
        let (sender, receiver) = mpsc::channel(WATCH_CHANNEL_CAPACITY);
        let store = self.clone();
        let key = key.to_owned();
        std::thread::spawn(move || {
            if let Err(error) = store.run_watch(&key, from_revision, &sender) {
                let _ = sender.blocking_send(Err(error));
            }
        });
        receiver
    }
}

fn unavailable(error: &ureq::Error) -> StoreError {
    StoreError::Unavailable {
        detail: error.to_string(),
    }
}
