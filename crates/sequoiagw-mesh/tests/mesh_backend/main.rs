//! What the client of the backend server takes from its connections.

mod broken_answers;

use std::net::SocketAddr;
use std::time::Duration;

use sequoiagw_mesh::BackendRuns;
use sequoiagw_mesh::HeaderNames;
use sequoiagw_mesh::MeshBackend;
use sequoiagw_node::CoreEvent;
use sequoiagw_policy::BackendResult;
use sequoiagw_policy::RunId;
use sequoiagw_policy::RunRequest;
use sequoiagw_protocol::CallDispatch;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::Instant;

const HEADERS: HeaderNames = HeaderNames {
    request_id: "Id",
    deadline: "Deadline",
    signature: "Signature",
    expected_instance: "Instance",
    not_run: "Not-Run",
    request_limit: "Limit",
    leaving: "Leaving",
    caller_service: "Service",
    api_key: "Key",
    workspace: "Workspace",
};
/// Time between two bytes of a trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// Trickled bytes after which a run is aborted.
const TRICKLED_BYTES: u32 = 10;
const RUN_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Refusal that says that its request didn't run, but not which request that is.
const LATE_REFUSAL: &str = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Starts a server that answers the requests of a connection one by one. After the first request
/// was answered it sends `late` when the second one arrives, before it answers that one.
async fn start_server(late: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut part = [0; 2048];
                for number in 1.. {
                    if stream.read(&mut part).await.is_ok_and(|read| read == 0) {
                        return;
                    }
                    let late = if number == 2 { late } else { "" };
                    let answer = format!(
                        "{late}HTTP/1.1 200 OK\r\nId: call-{number}\r\nSignature: s\r\n\
                         Content-Length: 2\r\n\r\nok"
                    );
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a server that refuses the first request of its first connection, and answers the second one
/// on it with the same refusal before it runs that. On other connections it runs all requests. The
/// receiver gets a message for each run.
async fn start_refusing_server(refusal: &'static str) -> (SocketAddr, UnboundedReceiver<()>) {
    const ANSWER: &str =
        "HTTP/1.1 200 OK\r\nId: call-1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (run_sender, runs) = mpsc::unbounded_channel();
    tokio::task::spawn_local(async move {
        let mut is_first = true;
        while let Ok((mut stream, _)) = listener.accept().await {
            let run_sender = run_sender.clone();
            let refuses = std::mem::replace(&mut is_first, false);
            tokio::task::spawn_local(async move {
                let mut part = [0; 2048];
                for number in 0.. {
                    if stream.read(&mut part).await.is_ok_and(|read| read == 0) {
                        return;
                    }
                    let mut answer = String::new();
                    if refuses {
                        answer.push_str(refusal);
                    }
                    if !refuses || number > 0 {
                        answer.push_str(ANSWER);
                        let _ = run_sender.send(());
                    }
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, runs)
}

/// Starts a server that answers the call 1 with a byte of its body each second, without end, and all
/// others at once. The receiver resolves when the connection of the call 1 has been closed.
async fn start_trickling_server() -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (closed_sender, closed) = oneshot::channel();
    let mut closed_sender = Some(closed_sender);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed_sender = closed_sender.take();
            tokio::task::spawn_local(async move {
                let mut part = [0; 2048];
                let _ = stream.read(&mut part).await;
                let length = if closed_sender.is_some() { 100_000 } else { 2 };
                let id = if closed_sender.is_some() { 1 } else { 2 };
                let head = format!(
                    "HTTP/1.1 200 OK\r\nId: call-{id}\r\nSignature: s\r\n\
                     Content-Length: {length}\r\n\r\nok"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                let Some(closed_sender) = closed_sender else {
                    let _ = stream.read(&mut part).await;
                    return;
                };
                loop {
                    tokio::select! {
                        read = stream.read(&mut part) => if !read.is_ok_and(|read| read > 0) {
                            let _ = closed_sender.send(());
                            return;
                        },
                        () = sleep(TRICKLE_INTERVAL) => {
                            let _ = stream.write_all(b"x").await;
                        }
                    }
                }
            });
        }
    });
    (address, closed)
}

fn start_run(backend: &MeshBackend, number: u64) {
    let request = RunRequest {
        run: RunId(number),
        dispatch: CallDispatch {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            request_id: format!("call-{number}"),
            ..CallDispatch::default()
        },
        deadline: Instant::now() + RUN_TIME_LIMIT,
    };
    backend.run(request, "i-1".to_owned());
}

/// Waits for the next result of a run.
async fn next_result(events: &mut UnboundedReceiver<CoreEvent>) -> (RunId, BackendResult) {
    loop {
        let event = events.recv().await.expect("the client keeps its sender");
        if let CoreEvent::RunFinished(run, result) = event {
            return (run, result);
        }
    }
}

async fn run(
    backend: &MeshBackend,
    events: &mut UnboundedReceiver<CoreEvent>,
    number: u64,
) -> BackendResult {
    start_run(backend, number);
    next_result(events).await.1
}

#[tokio::test]
async fn late_refusal_of_another_request_is_not_taken_for_the_answer_to_the_next_one() {
    LocalSet::new()
        .run_until(async {
            let (sender, mut events) = mpsc::unbounded_channel();
            let backend = MeshBackend::new(start_server(LATE_REFUSAL).await, HEADERS, sender);
            let first = run(&backend, &mut events, 1).await;
            assert!(matches!(first, BackendResult::Answered { .. }), "{first:?}");
            let second = run(&backend, &mut events, 2).await;
            // The second request ran, so nothing may say that it didn't.
            assert!(
                !matches!(second, BackendResult::Shed | BackendResult::Refused),
                "{second:?}"
            );
        })
        .await;
}

#[tokio::test]
async fn refusal_written_once_more_is_not_taken_for_the_answer_to_the_same_request_sent_again() {
    const REFUSALS: [&str; 2] = [
        "HTTP/1.1 503 Busy\r\nId: call-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Other\r\nId: call-1\r\nContent-Length: 0\r\n\r\n",
    ];
    LocalSet::new()
        .run_until(async {
            for refusal in REFUSALS {
                let (sender, mut events) = mpsc::unbounded_channel();
                let (address, mut runs) = start_refusing_server(refusal).await;
                let backend = MeshBackend::new(address, HEADERS, sender);
                let first = run(&backend, &mut events, 1).await;
                assert!(
                    matches!(first, BackendResult::Shed | BackendResult::Refused),
                    "{first:?}"
                );
                let second = run(&backend, &mut events, 1).await;
                runs.recv().await.expect("the second request ran");
                assert!(
                    matches!(second, BackendResult::Answered { .. }),
                    "{second:?}"
                );
            }
        })
        .await;
}

/// Starts a server that answers each request with the next of these texts and closes the connection.
/// A connection without a request, by which a node learns that the server lives, takes no text.
async fn start_closing_server(texts: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let mut texts = texts.into_iter();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut part = [0; 2048];
            if stream.read(&mut part).await.unwrap_or_default() > 0 {
                let text = texts.next().unwrap_or_default();
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    });
    address
}

/// Every part of a text that begins with it and ends before `end`.
fn beginnings(text: &str, end: usize) -> Vec<String> {
    (0..end).map(|length| text[..length].to_owned()).collect()
}

#[tokio::test]
async fn answer_that_stops_in_its_head_or_body_is_not_taken_for_whole() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nId: call-1\r\nSignature: s\r\n";
    let sized = format!("{HEAD}Content-Length: 2\r\n\r\nok");
    let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    let unframed = format!("{HEAD}Connection: close\r\n\r\n");
    let after_interim = format!("HTTP/1.1 100 Continue\r\n\r\n{unframed}");
    LocalSet::new()
        .run_until(async {
            for text in [&sized, &chunked, &unframed, &after_interim] {
                let parts = beginnings(text, text.len());
                let address = start_closing_server(parts.clone()).await;
                for part in parts {
                    let (sender, mut events) = mpsc::unbounded_channel();
                    let backend = MeshBackend::new(address, HEADERS, sender);
                    let result = run(&backend, &mut events, 1).await;
                    assert!(
                        matches!(result, BackendResult::Broken | BackendResult::Truncated),
                        "{part:?}: {result:?}"
                    );
                }
            }
        })
        .await;
}

#[tokio::test]
async fn a_trickle_of_bytes_ends_with_its_run_and_harms_no_other() {
    LocalSet::new()
        .run_until(async {
            let (sender, mut events) = mpsc::unbounded_channel();
            let (address, closed) = start_trickling_server().await;
            let backend = MeshBackend::new(address, HEADERS, sender);
            start_run(&backend, 1);
            sleep(TRICKLE_INTERVAL * TRICKLED_BYTES).await;
            let second = run(&backend, &mut events, 2).await;
            assert!(
                matches!(second, BackendResult::Answered { .. }),
                "{second:?}"
            );
            backend.abort(RunId(1));
            let first = next_result(&mut events).await;
            assert_eq!(first, (RunId(1), BackendResult::Aborted));
            closed.await.expect("the connection must be closed");
        })
        .await;
}
