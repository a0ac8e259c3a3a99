//! Answers that are none: nothing of them is believed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use sequoiagw_mesh::MeshBackend;
use sequoiagw_node::CoreEvent;
use sequoiagw_node::NodeCounters;
use sequoiagw_policy::BackendResult;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::next_result;
use crate::start_run;
use crate::HEADERS;

/// Server that answers every request on every connection with the same bytes.
struct RepeatingServer {
    address: SocketAddr,
    /// Connections on which a request has arrived.
    used_connections: Rc<Cell<usize>>,
}

impl RepeatingServer {
    async fn start(answer: &[u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let used_connections = Rc::new(Cell::new(0));
        let counter = Rc::clone(&used_connections);
        let answer = answer.to_owned();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (answer, counter) = (answer.clone(), Rc::clone(&counter));
                tokio::task::spawn_local(async move {
                    let mut part = [0; 2048];
                    let mut is_used = false;
                    while stream.read(&mut part).await.is_ok_and(|read| read > 0) {
                        counter.set(counter.get() + usize::from(!is_used));
                        is_used = true;
                        let _ = stream.write_all(&answer).await;
                    }
                });
            }
        });
        Self {
            address,
            used_connections,
        }
    }
}

/// Checks that an answer counts as a broken one for this reason, that nothing it says of the backend
/// server is taken over, and that its connection isn't used again.
async fn assert_not_believed(answer: &str, reason: &str) {
    let server = RepeatingServer::start(answer.as_bytes()).await;
    let (sender, mut events) = mpsc::unbounded_channel();
    let counters = NodeCounters::default();
    let backend = MeshBackend::new(server.address, HEADERS, sender).with_counters(counters.clone());
    for number in 1..=2 {
        start_run(&backend, 1);
        let event = events.recv().await.expect("the client keeps its sender");
        let CoreEvent::RunFinished(_, result) = event else {
            panic!("{answer:?} was believed");
        };
        assert_eq!(result, BackendResult::Truncated, "{answer:?}");
        assert_eq!(server.used_connections.get(), number, "{answer:?}");
    }
    let counted = counters.total(&format!("answer_unreadable.{reason}"));
    assert_eq!(counted, 2, "{answer:?}: {:?}", counters.totals());
}

/// MIXED: answers with such a status were passed on, and what they said of a limit, a departure or a
/// request that hadn't run was believed.
#[tokio::test]
async fn answer_without_a_valid_status_is_believed_in_nothing() {
    const FIELDS: &str = "Id: call-1\r\nSignature: s\r\nContent-Length: 2\r\n";
    LocalSet::new()
        .run_until(async {
            for status in ["000", "001", "099", "600", "999"] {
                for said in ["", "Limit: 1\r\n", "Leaving: 1\r\n", "Not-Run: 1\r\n"] {
                    let answer = format!("HTTP/1.1 {status} Odd\r\n{said}{FIELDS}\r\nok");
                    assert_not_believed(&answer, "invalid_status").await;
                }
            }
        })
        .await;
}

/// The check of statuses must not refuse what a backend server may send.
#[tokio::test]
async fn answer_with_the_highest_valid_status_is_passed_on() {
    const ANSWER: &str =
        "HTTP/1.1 599 Odd\r\nId: call-1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";
    LocalSet::new()
        .run_until(async {
            let server = RepeatingServer::start(ANSWER.as_bytes()).await;
            let (sender, mut events) = mpsc::unbounded_channel();
            let backend = MeshBackend::new(server.address, HEADERS, sender);
            start_run(&backend, 1);
            let (_, result) = next_result(&mut events).await;
            let BackendResult::Answered { status, body, .. } = result else {
                panic!("{result:?}");
            };
            assert_eq!(status, 599);
            assert_eq!(&body[..], b"ok");
        })
        .await;
}

/// REFUSED, TWICE: a refusal that names a request by an id that isn't UTF-8 doesn't name this one.
#[tokio::test]
async fn refusal_with_an_id_that_is_not_utf_8_is_not_believed() {
    LocalSet::new()
        .run_until(async {
            for start in ["503 Busy\r\nNot-Run: 1", "421 Other"] {
                let start = format!("HTTP/1.1 {start}\r\nId: call-");
                let refusal = [start.as_bytes(), b"\xff\r\nContent-Length: 0\r\n\r\n"].concat();
                let server = RepeatingServer::start(&refusal).await;
                let (sender, mut events) = mpsc::unbounded_channel();
                let backend = MeshBackend::new(server.address, HEADERS, sender);
                start_run(&backend, 1);
                let (_, result) = next_result(&mut events).await;
                assert_eq!(result, BackendResult::Truncated, "{start:?}");
            }
        })
        .await;
}
