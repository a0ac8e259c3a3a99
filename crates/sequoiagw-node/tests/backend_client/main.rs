//! What the client of the backend server takes for a refusal or an answer.

mod broken_answers;

use std::net::SocketAddr;
use std::time::Duration;

use sequoiagw_node::BackendClient;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::HttpBackend;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use tokio::time::Instant;

const RUN_TIME_LIMIT: Duration = Duration::from_secs(2);
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nSequoiagw-Not-Run: true\r\nContent-Length: 0\r\n\r\n";

/// Starts a server that answers the requests of each connection with these texts in turn.
async fn start_server(answers: &'static [&'static [&'static str]]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        for texts in answers {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            tokio::task::spawn_local(async move {
                let mut part = [0; 2048];
                for text in *texts {
                    if stream.read(&mut part).await.is_ok_and(|read| read == 0) {
                        return;
                    }
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                let _ = stream.read(&mut part).await;
            });
        }
    });
    address
}

/// Starts a server that answers a request with a text and closes the connection. It goes on listening,
/// so that a node sees that it lives.
async fn start_closing_server(text: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut part = [0; 2048];
            if stream.read(&mut part).await.unwrap_or_default() > 0 {
                let _ = stream.write_all(&text).await;
            }
        }
    });
    address
}

async fn run(
    backend: &HttpBackend,
    address: SocketAddr,
    events: &mut UnboundedReceiver<CoreEvent>,
) -> BackendResult {
    let request = RunRequest {
        run: RunId(1),
        dispatch: CallDispatch {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            request_id: "call-1".to_owned(),
            ..CallDispatch::default()
        },
        deadline: Instant::now() + RUN_TIME_LIMIT,
    };
    backend.run(&address.to_string(), request);
    loop {
        let event = events.recv().await.expect("the client keeps its sender");
        if let CoreEvent::RunFinished(_, result) = event {
            return result;
        }
    }
}

#[tokio::test]
async fn refusal_written_once_more_is_not_taken_for_the_answer_to_the_request_sent_again() {
    const ECHOED: &str = "HTTP/1.1 503 Busy\r\nSequoiagw-Not-Run: true\r\nX-Request-Id: call-1\r\n\
                          Content-Length: 0\r\n\r\n";
    LocalSet::new()
        .run_until(async {
            let (sender, mut events) = mpsc::unbounded_channel();
            let backend = HttpBackend::new(sender);
            let address = start_server(&[&[ECHOED, ECHOED], &[ANSWER]]).await;
            let first = run(&backend, address, &mut events).await;
            assert!(matches!(first, BackendResult::Shed), "{first:?}");
            let second = run(&backend, address, &mut events).await;
            assert!(
                matches!(second, BackendResult::Answered { .. }),
                "{second:?}"
            );
        })
        .await;
}

#[tokio::test]
async fn late_refusal_on_a_kept_connection_is_believed_only_with_the_id_of_the_request() {
    const OF_ANOTHER: &str = "HTTP/1.1 503 Busy\r\nSequoiagw-Not-Run: true\r\n\
                              X-Request-Id: call-0\r\nContent-Length: 0\r\n\r\n";
    LocalSet::new()
        .run_until(async {
            for answers in [
                &[&[ANSWER, REFUSAL] as &[&str]] as &[&[&str]],
                &[&[ANSWER, OF_ANOTHER]],
                &[&[OF_ANOTHER], &[OF_ANOTHER]],
            ] {
                let (sender, mut events) = mpsc::unbounded_channel();
                let backend = HttpBackend::new(sender);
                let address = start_server(answers).await;
                run(&backend, address, &mut events).await;
                let second = run(&backend, address, &mut events).await;
                // The second request may have run.
                assert_eq!(second, BackendResult::Truncated, "{answers:?}");
            }
        })
        .await;
}

#[tokio::test]
async fn refusal_of_the_first_request_on_a_connection_is_believed_without_an_id() {
    LocalSet::new()
        .run_until(async {
            let (sender, mut events) = mpsc::unbounded_channel();
            let backend = HttpBackend::new(sender);
            let address = start_server(&[&[REFUSAL], &[REFUSAL]]).await;
            for _ in 0..2 {
                let result = run(&backend, address, &mut events).await;
                assert!(matches!(result, BackendResult::Shed), "{result:?}");
            }
        })
        .await;
}

#[tokio::test]
async fn answer_that_stops_in_its_head_or_body_is_not_taken_for_whole() {
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Kind: unframed\r\nConnection: close\r\n\r\n";
    LocalSet::new()
        .run_until(async {
            for text in [ANSWER, UNFRAMED] {
                for length in 0..text.len() {
                    let (sender, mut events) = mpsc::unbounded_channel();
                    let backend = HttpBackend::new(sender);
                    let address = start_closing_server(text[..length].into()).await;
                    let result = run(&backend, address, &mut events).await;
                    assert!(
                        matches!(result, BackendResult::Broken | BackendResult::Truncated),
                        "{:?}: {result:?}",
                        &text[..length]
                    );
                }
            }
        })
        .await;
}
