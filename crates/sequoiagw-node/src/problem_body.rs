//! Problem bodies of refusals, RFC 9457.

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;
use serde::Deserialize;
use serde::Serialize;

/// Media type of problem bodies.
pub(crate) const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Body of a refusal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProblemBody {
    /// Kind of the problem, a relative reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// Kind in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened and how to mend it.
    pub detail: String,
    /// Whether the request ran, on refusals of callers' requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<RunState>,
    /// Whether a retry is safe although the request isn't idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_safe: Option<bool>,
}

impl ProblemBody {
    /// Builds a body for an administrator.
    pub fn new(status: u16, name: &str, detail: &str) -> Self {
        Self {
            kind: format!("/problems/{name}"),
            title: name.replace('_', " "),
            status,
            detail: detail.to_owned(),
            ran: None,
            retry_safe: None,
        }
    }

    /// Builds the body for a caller from the table of error kinds.
    pub fn for_kind(kind: ErrorKind, detail: Option<&str>) -> Self {
        let rule = kind.rule();
        Self {
            ran: Some(rule.ran),
            retry_safe: Some(rule.retry_safe),
            ..Self::new(rule.status, rule.name, detail.unwrap_or(rule.help))
        }
    }

    /// JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
