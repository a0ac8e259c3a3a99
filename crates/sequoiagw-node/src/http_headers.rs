//! HTTP headers that the system reads and writes.

use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::RankLevel;

/// Time the caller allows, in milliseconds; passed on with what is left of it.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Key under which an action runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request id, made if the caller sends none.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Whether a refused request ran: `no` or `unknown`; `yes` on answers.
pub const RAN_HEADER: &str = "sequoiagw-ran";
/// Whether the answer is a stored one.
pub const REPLAYED_HEADER: &str = "sequoiagw-replayed";
/// Set by a backend server on a 503 for work that it shed unrun.
pub const NOT_RUN_HEADER: &str = "sequoiagw-not-run";
/// RFC 9218 priority.
pub const PRIORITY_HEADER: &str = "priority";
/// Name of the caller, for fairness; its address stands in for it.
pub const CALLER_HEADER: &str = "x-caller";

/// Headers that concern one connection only.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that the node writes itself on the way to a backend server.
const REWRITTEN_HEADERS: &[&str] = &[TIMEOUT_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER];

/// Whether a header is passed on.
pub(crate) fn is_forwarded(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name) && !REWRITTEN_HEADERS.contains(&name)
}

/// Urgency of an RFC 9218 priority field, `u=3, i`.
pub(crate) fn parse_urgency(field: &str) -> Option<RankLevel> {
    let urgency = field
        .split(',')
        .find_map(|part| part.trim().strip_prefix("u="))?;
    let level: u8 = urgency.parse().ok()?;
    (level <= RankLevel::LEAST_URGENT.get()).then(|| RankLevel::new(level))
}

/// Headers of a request that are passed on, from pairs of lower-case name and value.
pub(crate) fn forwarded_headers<'a, Pairs>(pairs: Pairs) -> Vec<HeaderField>
where
    Pairs: Iterator<Item = (&'a str, &'a str)>,
{
    pairs
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| HeaderField {
            name: name.to_owned(),
            value: value.to_owned(),
        })
        .collect()
}
