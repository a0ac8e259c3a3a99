//! Conversions between calls to the store and the messages of the etcd v3 JSON gateway.

use crate::gateway_json::decode_base64;
use crate::gateway_json::encode_base64;
use crate::gateway_json::parse_u64;
use crate::gateway_json::GatewayCompare;
use crate::gateway_json::GatewayEvent;
use crate::gateway_json::GatewayKeyValue;
use crate::gateway_json::GatewayLease;
use crate::gateway_json::GatewayOp;
use crate::gateway_json::GatewayPut;
use crate::gateway_json::GatewayRange;
use crate::gateway_json::GatewayTxn;
use crate::gateway_json::GatewayTxnReply;
use crate::gateway_json::GatewayWatchLine;
use crate::KeyCondition;
use crate::KeyEntry;
use crate::LeaseId;
use crate::PutEntry;
use crate::StoreError;
use crate::StoreReply;
use crate::WatchUpdate;

/// Exclusive end of the range of keys that start with `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    match end.pop() {
        Some(last_char) => end.push(char::from_u32(last_char as u32 + 1).unwrap_or(char::MAX)),
        None => end.push(char::MAX),
    }
    end
}

pub(crate) fn single_key_range(key: &str) -> GatewayRange {
    GatewayRange {
        key: encode_base64(key),
        ..GatewayRange::default()
    }
}

fn gateway_put(entry: &PutEntry) -> GatewayPut {
    GatewayPut {
        key: encode_base64(&entry.key),
        value: encode_base64(&entry.value),
        lease: entry
            .lease
            .map_or_else(String::new, |lease| lease.to_string()),
    }
}

pub(crate) fn put_op(entry: &PutEntry) -> GatewayOp {
    GatewayOp {
        request_put: Some(gateway_put(entry)),
        ..GatewayOp::default()
    }
}

pub(crate) fn create_if_absent_op(entry: &PutEntry) -> GatewayOp {
    let read = GatewayOp {
        request_range: Some(single_key_range(&entry.key)),
        ..GatewayOp::default()
    };
    let nested = GatewayTxn {
        compare: vec![gateway_compare(&KeyCondition::Absent(entry.key.clone()))],
        success: vec![put_op(entry)],
        failure: vec![read],
    };
    GatewayOp {
        request_txn: Some(nested),
        ..GatewayOp::default()
    }
}

pub(crate) fn gateway_compare(condition: &KeyCondition) -> GatewayCompare {
    let equal = "EQUAL".to_owned();
    match condition {
        KeyCondition::Absent(key) => GatewayCompare {
            key: encode_base64(key),
            target: "CREATE".to_owned(),
            result: equal,
            create_revision: Some("0".to_owned()),
            mod_revision: None,
        },
        KeyCondition::Unchanged(key, revision) => GatewayCompare {
            key: encode_base64(key),
            target: "MOD".to_owned(),
            result: equal,
            create_revision: None,
            mod_revision: Some(revision.to_string()),
        },
    }
}

pub(crate) fn decode_existing_entry(reply: &GatewayTxnReply) -> Result<KeyEntry, StoreError> {
    let range = reply
        .responses
        .first()
        .and_then(|response| response.response_range.as_ref());
    let pair = range.and_then(|range| range.kvs.first());
    decode_entry(pair.ok_or_else(|| malformed("the existing key is missing from the reply"))?)
}

pub(crate) fn decode_entry(pair: &GatewayKeyValue) -> Result<KeyEntry, StoreError> {
    let lease = match pair.lease.as_str() {
        "" => None,
        number => LeaseId::from_number(parse_u64(number)?),
    };
    Ok(KeyEntry {
        key: decode_base64(&pair.key)?,
        value: decode_base64(&pair.value)?,
        create_revision: parse_u64(&pair.create_revision)?,
        mod_revision: parse_u64(&pair.mod_revision)?,
        lease,
    })
}

pub(crate) fn lease_reply(reply: &GatewayLease) -> Result<StoreReply, StoreError> {
    Ok(StoreReply::Leased {
        lease: LeaseId(parse_u64(&reply.id)?),
        ttl_s: parse_u64(&reply.ttl)?,
    })
}

pub(crate) fn watch_updates(line: &GatewayWatchLine) -> Result<Vec<WatchUpdate>, StoreError> {
    let result = &line.result;
    if result.canceled {
        return Err(StoreError::Compacted {
            oldest: parse_u64(&result.compact_revision)?,
        });
    }
    let mut updates = Vec::with_capacity(result.events.len() + 1);
    if result.created {
        updates.push(WatchUpdate::Started);
    }
    for GatewayEvent { kind, kv } in &result.events {
        updates.push(match kind.as_str() {
            "DELETE" => WatchUpdate::Deleted,
            _ => WatchUpdate::Changed(decode_entry(kv)?),
        });
    }
    Ok(updates)
}

pub(crate) fn malformed(detail: &str) -> StoreError {
    StoreError::Malformed {
        detail: detail.to_owned(),
    }
}
