//! A simulated backend server over HTTP.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use sequoiagw_node::IDEMPOTENCY_KEY_HEADER;
use sequoiagw_node::NOT_RUN_HEADER;
use sequoiagw_node::REQUEST_ID_HEADER;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::BackendModel;
use crate::ModelAnswer;

/// A simulated backend server over HTTP.
pub struct BackendHttp;

impl BackendHttp {
    /// Serves a model until the listener fails. Closing a connection cancels its request.
    pub async fn serve(listener: TcpListener, model: BackendModel) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve_connection(stream, model.clone()));
        }
    }

    /// Serves a model on a new thread and returns the bound address.
    ///
    /// Errors: the address cannot be bound, or the async runtime cannot be built.
    pub fn spawn<Build>(address: SocketAddr, build: Build) -> std::io::Result<SocketAddr>
    where
        Build: FnOnce() -> BackendModel + Send + 'static,
    {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::spawn(move || {
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                if let Ok(listener) = TcpListener::from_std(listener) {
                    Self::serve(listener, build()).await;
                }
            });
        });
        Ok(address)
    }
}

async fn serve_connection(stream: TcpStream, model: BackendModel) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let model = model.clone();
        async move { answer(request, &model).await }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    request: Request<Incoming>,
    model: &BackendModel,
) -> Result<Response<Full<Bytes>>, SimulatedConnectionError> {
    let header = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let (key, request_id) = (header(IDEMPOTENCY_KEY_HEADER), header(REQUEST_ID_HEADER));
    let id = if key.is_empty() {
        request_id.clone()
    } else {
        key
    };
    let path = request.uri().path().to_owned();
    let _ = request.into_body().collect().await;
    match model.serve(&id, &path).await {
        ModelAnswer::Answered(body) => Ok(Response::new(Full::new(Bytes::from(body)))),
        ModelAnswer::Shed => {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            let not_run = HeaderValue::from_static("true");
            response.headers_mut().insert(NOT_RUN_HEADER, not_run);
            if let Ok(request_id) = HeaderValue::from_str(&request_id) {
                response.headers_mut().insert(REQUEST_ID_HEADER, request_id);
            }
            Ok(response)
        }
        ModelAnswer::Broken => Err(SimulatedConnectionError),
    }
}

/// Error that makes the HTTP server close the connection without an answer.
#[derive(Debug)]
struct SimulatedConnectionError;

impl std::fmt::Display for SimulatedConnectionError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the simulated backend server closes the connection")
    }
}

impl std::error::Error for SimulatedConnectionError {}

impl From<Infallible> for SimulatedConnectionError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
