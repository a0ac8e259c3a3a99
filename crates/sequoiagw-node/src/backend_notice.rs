//! What a backend server says of itself in its responses.

/// What a backend server says of itself in the headers of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendNotice {
    /// Backend process that sent the response.
    pub instance: String,
    /// Requests per second that it takes from all nodes together; `None` without a limit.
    pub request_limit: Option<f64>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}
