//! Tests of the server and client side of connections over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::serve_connection;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::ExchangeError;
use sequoiagw_http::HttpConnection;
use sequoiagw_http::HttpParseError;
use sequoiagw_http::HttpReply;
use sequoiagw_http::HttpRequest;
use sequoiagw_http::HttpResponse;
use sequoiagw_http::ResponseHead;
use sequoiagw_http::ServerLimits;
use sequoiagw_http::ServerPhase;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::LocalSet;

const LIMITS: ServerLimits = ServerLimits {
    max_header_bytes: 4096,
    max_body_bytes: 4096,
    request_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};

/// Starts a server that replies after the delay in milliseconds that the path states.
async fn start_delaying_server() -> (SocketAddr, watch::Sender<ServerPhase>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = watch::channel(ServerPhase::Open);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let phase = receiver.clone();
            let budget = BufferBudget::unlimited();
            let handler = |request: HttpRequest| async move {
                let path = request.head.path.trim_start_matches('/').to_owned();
                let delay = path.parse().expect("a delay in milliseconds");
                tokio::time::sleep(Duration::from_millis(delay)).await;
                HttpReply::json(200, path)
            };
            tokio::task::spawn_local(serve_connection(stream, || LIMITS, budget, phase, handler));
        }
    });
    (address, sender)
}

/// Sends text and reads until the server closes the connection or `count` responses have begun.
async fn send_and_read(address: SocketAddr, text: &str, count: usize) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("a successful write");
    read_responses(&mut stream, count).await
}

async fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut received = String::new();
    let mut part = [0; 1024];
    while received.matches("HTTP/1.1").count() < count {
        let read = stream.read(&mut part).await.expect("a successful read");
        if read == 0 {
            break;
        }
        received.push_str(&String::from_utf8_lossy(&part[..read]));
    }
    received
}

/// Starts a server that sends `bytes` after the first data on each connection, then closes the
/// connection if `close` is set.
async fn start_scripted_server(bytes: &'static str, close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut part = [0; 1024];
            let _ = stream.read(&mut part).await;
            let _ = stream.write_all(bytes.as_bytes()).await;
            if !close {
                let _ = stream.read(&mut part).await;
            }
        }
    });
    address
}

async fn exchange(address: SocketAddr) -> (Result<HttpResponse, ExchangeError>, bool) {
    let limit = Duration::from_secs(5);
    let mut connection = HttpConnection::connect(address, limit, limit)
        .await
        .expect("a connection");
    let request = HttpConnection::encode_request("GET", "/", &[], &Bytes::new());
    let is_expected = |head: &ResponseHead| {
        let id = sequoiagw_http::find_header(&head.headers, "id");
        id == Some("own")
    };
    let result = connection
        .exchange("GET", &request, 1000, is_expected)
        .await;
    (result, connection.is_reusable(limit))
}

#[tokio::test]
async fn runs_pipelined_requests_concurrently_and_replies_in_order() {
    LocalSet::new()
        .run_until(async {
            let (address, _phase) = start_delaying_server().await;
            let text = "GET /80 HTTP/1.1\r\n\r\nGET /1 HTTP/1.1\r\n\r\nGET /40 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
            let received = send_and_read(address, text, 9).await;
            let bodies: Vec<&str> = received
                .split("\r\n\r\n")
                .skip(1)
                .map(|part| part.split("HTTP").next().unwrap_or_default())
                .collect();
            assert_eq!(bodies, ["80", "1", "40"]);
            assert_eq!(received.matches("Connection: close").count(), 1);
        })
        .await;
}

#[tokio::test]
async fn leaving_server_replies_to_running_request_and_reads_no_further_one() {
    LocalSet::new()
        .run_until(async {
            let (address, phase) = start_delaying_server().await;
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream
                .write_all(b"GET /60 HTTP/1.1\r\n\r\n")
                .await
                .expect("a successful write");
            tokio::time::sleep(Duration::from_millis(20)).await;
            phase.send_replace(ServerPhase::Leaving);
            stream
                .write_all(b"GET /1 HTTP/1.1\r\n\r\n")
                .await
                .expect("a successful write");
            let received = read_responses(&mut stream, 9).await;
            assert_eq!(received.matches("HTTP/1.1 200").count(), 1, "{received}");
            assert!(received.contains("Connection: close"));
        })
        .await;
}

#[tokio::test]
async fn closing_server_closes_idle_connections() {
    LocalSet::new()
        .run_until(async {
            let (address, phase) = start_delaying_server().await;
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream
                .write_all(b"GET /1 HTTP/1.1\r\n\r\n")
                .await
                .expect("a successful write");
            read_responses(&mut stream, 1).await;
            phase.send_replace(ServerPhase::Closing);
            assert_eq!(read_responses(&mut stream, 1).await, "");
        })
        .await;
}

#[tokio::test]
async fn extra_response_makes_connection_unusable() {
    LocalSet::new()
        .run_until(async {
            let two_responses = "HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 1\r\n\r\nb";
            let (result, reusable) = exchange(start_scripted_server(two_responses, false).await).await;
            assert_eq!(&result.expect("a response").body[..], b"a");
            assert!(!reusable);
        })
        .await;
}

#[tokio::test]
async fn skips_response_to_an_earlier_request() {
    LocalSet::new()
        .run_until(async {
            let late_then_own = "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 1\r\n\r\nb";
            let (result, reusable) = exchange(start_scripted_server(late_then_own, false).await).await;
            assert_eq!(&result.expect("a response").body[..], b"b");
            assert!(reusable);
        })
        .await;
}

#[tokio::test]
async fn reports_incomplete_responses_as_truncated() {
    LocalSet::new()
        .run_until(async {
            let short_body = "HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 3\r\n\r\nab";
            let unfinished_chunks =
                "HTTP/1.1 200 OK\r\nid: own\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
            let partial_head = "HTTP/1.1 200 OK\r\nid: o";
            let invalid_head = "\u{1}\u{2}\u{3} HTTP";
            let malformed = ExchangeError::Unreadable(HttpParseError::Malformed);
            for (bytes, expected) in [
                (short_body, ExchangeError::Truncated),
                (unfinished_chunks, ExchangeError::Truncated),
                (partial_head, ExchangeError::Truncated),
                (invalid_head, malformed),
            ] {
                let (result, reusable) = exchange(start_scripted_server(bytes, true).await).await;
                assert_eq!(result.err(), Some(expected), "{bytes}");
                assert!(!reusable);
            }
            let (result, _) = exchange(start_scripted_server("", true).await).await;
            assert_eq!(result.err(), Some(ExchangeError::Broken));
        })
        .await;
}

/// Starts a server that answers with `head` and then repeats `filler` until its peer closes the
/// connection. The receiver gets the number of bytes that could be written.
async fn start_endless_server(
    head: &'static str,
    filler: &'static str,
) -> (SocketAddr, tokio::sync::oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener should bind");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    let (sender, receiver) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection should arrive");
        let block = filler.repeat(1024);
        let mut written = head.len();
        let _ = stream.write_all(head.as_bytes()).await;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            written += block.len();
        }
        let _ = sender.send(written);
    });
    (address, receiver)
}

#[tokio::test]
async fn bytes_without_end_are_cut_off_and_the_connection_closed() {
    let cases = [
        ("HTTP/1.1 200 OK\r\nX-Filler: ", "x"),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            "x",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-Trailer: x\r\n",
        ),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "no answer at all "),
    ];
    for (head, filler) in cases {
        let (address, written) = start_endless_server(head, filler).await;
        let (result, reusable) = exchange(address).await;
        assert!(result.is_err(), "{head}{filler}");
        assert!(!reusable, "{head}{filler}");
        let written = written.await.expect("the server should notice the close");
        assert!(written < 64 * 1024 * 1024, "{head}{filler}: {written}");
    }
}

/// Largest body of a reply that is written with its head.
const COPIED_BODY_BYTES: usize = 16 * 1024;

/// Starts a server whose replies repeat the letter that the path names, more often than fits a reply that
/// is written at once.
async fn start_large_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let (_phase, phase) = watch::channel(ServerPhase::Open);
        while let Ok((stream, _)) = listener.accept().await {
            let budget = BufferBudget::unlimited();
            let handler = |request: HttpRequest| async move {
                let letter = request.head.path.trim_start_matches('/');
                HttpReply::text(200, &letter.repeat(2 * COPIED_BODY_BYTES))
            };
            let phase = phase.clone();
            tokio::task::spawn_local(serve_connection(stream, || LIMITS, budget, phase, handler));
        }
    });
    address
}

/// MIXED: the refusal of a request behind others replaced the body of a reply that was to be written, and
/// callers took the bytes that followed for it.
#[tokio::test]
async fn refusal_behind_pipelined_requests_leaves_large_replies_whole() {
    LocalSet::new()
        .run_until(async {
            let address = start_large_server().await;
            let letters: Vec<char> = ('a'..='t').collect();
            for accepted in [1, 2, 15, 16, 17, 20] {
                let requests = letters.iter().take(accepted);
                let requests = requests.map(|letter| format!("GET /{letter} HTTP/1.1\r\n\r\n"));
                let text: String = requests.chain(["no request\r\n\r\n".to_owned()]).collect();
                let received = send_and_read(address, &text, usize::MAX).await;
                let replies: Vec<&str> = received.split("HTTP/1.1 ").skip(1).collect();
                assert_eq!(replies.len(), accepted + 1, "{accepted} accepted");
                for (letter, reply) in letters.iter().zip(&replies[..accepted]) {
                    let body = reply.split("\r\n\r\n").nth(1).unwrap_or_default();
                    assert_eq!(body.len(), 2 * COPIED_BODY_BYTES, "{accepted} accepted");
                    assert!(
                        body.chars().all(|other| other == *letter),
                        "reply to /{letter}"
                    );
                }
                assert!(replies[accepted].starts_with("400 "));
            }
        })
        .await;
}

/// A caller that waits for `100 Continue` behind a request that was still running never got it, and was
/// refused with 408 in the end.
#[tokio::test]
async fn caller_is_told_to_continue_once_earlier_requests_are_answered() {
    LocalSet::new()
        .run_until(async {
            let (address, _phase) = start_delaying_server().await;
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let text = "GET /80 HTTP/1.1\r\n\r\nPOST /1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
            stream
                .write_all(text.as_bytes())
                .await
                .expect("a successful write");
            let received = tokio::time::timeout(
                Duration::from_secs(10),
                read_responses(&mut stream, 2),
            );
            let received = received.await.expect("100 Continue behind the first reply");
            let begins = received.find("HTTP/1.1 100 Continue");
            assert!(begins > received.find("HTTP/1.1 200"), "{received}");
            stream.write_all(b"abc").await.expect("a successful write");
            let received = read_responses(&mut stream, 1).await;
            assert!(received.contains("HTTP/1.1 200"), "{received}");
        })
        .await;
}

/// A caller was told to continue with a body that is refused by its length.
#[tokio::test]
async fn caller_is_not_told_to_continue_with_a_body_over_its_limit() {
    LocalSet::new()
        .run_until(async {
            let (address, _phase) = start_delaying_server().await;
            let text = "POST /1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n";
            let received = send_and_read(address, text, usize::MAX).await;
            assert!(received.starts_with("HTTP/1.1 413"), "{received}");
        })
        .await;
}
