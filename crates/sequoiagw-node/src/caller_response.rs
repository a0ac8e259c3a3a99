//! HTTP responses to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::Response;
use hyper::StatusCode;
use sequoiagw_policy::CallerAnswer;
use sequoiagw_policy::CallerReply;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::RunState;

use crate::http_headers::RAN_HEADER;
use crate::http_headers::REPLAYED_HEADER;
use crate::http_headers::REQUEST_ID_HEADER;
use crate::problem_body::PROBLEM_MEDIA_TYPE;
use crate::ProblemBody;

/// Value of `Retry-After` on 503 responses, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// The same for a request that is held back.
const HELD_RETRY_AFTER_SECONDS: &str = "60";

/// Response with its whole body.
pub(crate) type CallerResponse = Response<Full<Bytes>>;

/// Response to a request whose call has ended.
pub(crate) fn reply_response(reply: CallerReply) -> CallerResponse {
    match reply.outcome {
        Ok(answer) => served_response(answer),
        Err(kind) => refusal_response(kind, None),
    }
}

fn served_response(answer: CallerAnswer) -> CallerResponse {
    let mut builder = Response::builder()
        .status(answer.status.get())
        .header(RAN_HEADER, "yes");
    if answer.replayed {
        builder = builder.header(REPLAYED_HEADER, "true");
    }
    for field in &answer.headers {
        builder = builder.header(field.name.as_str(), field.value.as_bytes());
    }
    builder
        .body(Full::new(answer.body))
        .unwrap_or_else(|_| refusal_response(ErrorKind::BackendBroken, None))
}

/// Response to a refused request; `detail` replaces the standard help text of the error kind.
pub(crate) fn refusal_response(kind: ErrorKind, detail: Option<&str>) -> CallerResponse {
    let rule = kind.rule();
    let body = ProblemBody::for_kind(kind, detail).to_json();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(rule.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_MEDIA_TYPE));
    let run_state = match rule.ran {
        RunState::No => "no",
        RunState::Unknown => "unknown",
        RunState::Yes => "yes",
    };
    headers.insert(RAN_HEADER, HeaderValue::from_static(run_state));
    if rule.status == 503 {
        let seconds = match kind {
            ErrorKind::RequestHeld => HELD_RETRY_AFTER_SECONDS,
            _ => RETRY_AFTER_SECONDS,
        };
        headers.insert(RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    response
}

/// Adds the request's id to its response.
pub(crate) fn with_request_id(mut response: CallerResponse, request_id: &str) -> CallerResponse {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
