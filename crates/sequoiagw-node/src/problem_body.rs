//! Problem details (RFC 9457) as the body of error responses.

use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;
use serde::Deserialize;
use serde::Serialize;

/// Media type of problem details.
pub(crate) const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Problem details, the body of an error response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProblemBody {
    /// Relative URI reference that names the kind of the problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short readable name of the kind.
    pub title: String,
    /// HTTP status code of the response.
    pub status: u16,
    /// What happened and how to fix it.
    pub detail: String,
    /// Whether the request ran; set only on refusals of callers' requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<RunState>,
    /// Whether a retry is safe even if the request isn't idempotent; set only on refusals of
    /// callers' requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_safe: Option<bool>,
}

impl ProblemBody {
    /// Builds the body of an administration API error; `name` becomes the kind and the title.
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

    /// Builds the body of a refusal of a caller's request; the help text of the kind is the
    /// default detail.
    pub fn for_kind(kind: ErrorKind, detail: Option<&str>) -> Self {
        let rule = kind.rule();
        Self {
            ran: Some(rule.ran),
            retry_safe: Some(rule.retry_safe),
            ..Self::new(rule.status, rule.name, detail.unwrap_or(rule.help))
        }
    }

    /// Serializes the body as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
