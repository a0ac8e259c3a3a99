//! HTTP headers that nodes read and write, and the choice of headers to forward.

use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::RankLevel;

/// Timeout of a call in milliseconds; the backend server receives the time that remains.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Key under which a request runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request id; the node generates one if the caller sends none.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Whether the request ran: `yes` on answers, `no` or `unknown` on refusals.
pub const RAN_HEADER: &str = "sequoiagw-ran";
/// Set to `true` if the answer was stored by an earlier run under the same idempotency key.
pub const REPLAYED_HEADER: &str = "sequoiagw-replayed";
/// Set by a backend server on a 503 response to a request that it rejected without running it.
pub const NOT_RUN_HEADER: &str = "sequoiagw-not-run";
/// Priority of a request, as in RFC 9218.
pub const PRIORITY_HEADER: &str = "priority";
/// Name of the caller, by which load is shared fairly between callers; defaults to its IP
/// address.
pub const CALLER_HEADER: &str = "x-caller";

/// Headers that concern a single connection and are not forwarded.
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

/// Headers that the node sets itself on requests to a backend server.
const REWRITTEN_HEADERS: &[&str] = &[TIMEOUT_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER];

/// Whether a header with this lower-case name is forwarded.
pub(crate) fn is_forwarded(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name) && !REWRITTEN_HEADERS.contains(&name)
}

/// Parses the urgency of an RFC 9218 priority field such as `u=3, i`; `None` if it is absent or
/// invalid.
pub(crate) fn parse_urgency(field: &str) -> Option<RankLevel> {
    let urgency = field
        .split(',')
        .find_map(|part| part.trim().strip_prefix("u="))?;
    let level: u8 = urgency.parse().ok()?;
    (level <= RankLevel::LEAST_URGENT.get()).then(|| RankLevel::new(level))
}

/// Selects the headers of a request or answer to forward, from pairs of lower-case name and
/// value.
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
