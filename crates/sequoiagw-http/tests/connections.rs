//! Both sides of a connection over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sequoiagw_http::serve_connection;
use sequoiagw_http::ExchangeError;
use sequoiagw_http::HttpConnection;
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
    max_head_bytes: 4096,
    max_body_bytes: 4096,
    request_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};

/// A server whose answers come after as many milliseconds as the path says.
async fn waiting_server() -> (SocketAddr, watch::Sender<ServerPhase>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = watch::channel(ServerPhase::Open);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let phase = receiver.clone();
            let handler = |request: HttpRequest| async move {
                let path = request.head.path.trim_start_matches('/').to_owned();
                let wait = path.parse().expect("milliseconds");
                tokio::time::sleep(Duration::from_millis(wait)).await;
                HttpReply::json(200, path)
            };
            tokio::task::spawn_local(serve_connection(stream, || LIMITS, phase, handler));
        }
    });
    (address, sender)
}

/// Sends text and reads until the server closes or `count` answers have come.
async fn talk(address: SocketAddr, text: &str, count: usize) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    read_answers(&mut stream, count).await
}

async fn read_answers(stream: &mut TcpStream, count: usize) -> String {
    let mut answer = String::new();
    let mut part = [0; 1024];
    while answer.matches("HTTP/1.1").count() < count {
        let read = stream.read(&mut part).await.expect("read");
        if read == 0 {
            break;
        }
        answer.push_str(&String::from_utf8_lossy(&part[..read]));
    }
    answer
}

/// A backend server that sends `bytes` to whoever connects and has sent something, and
/// closes its side if told to.
async fn scripted_server(bytes: &'static str, close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
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
    let request = HttpConnection::write_request("GET", "/", &[], &Bytes::new());
    let is_own = |head: &ResponseHead| {
        let id = sequoiagw_http::find_header(&head.headers, "id");
        id == Some("own")
    };
    let result = connection.exchange("GET", &request, 1000, is_own).await;
    (result, connection.is_reusable(limit))
}

#[tokio::test]
async fn pipelined_requests_run_side_by_side_and_are_answered_in_order() {
    LocalSet::new()
        .run_until(async {
            let (address, _phase) = waiting_server().await;
            let text = "GET /80 HTTP/1.1\r\n\r\nGET /1 HTTP/1.1\r\n\r\nGET /40 HTTP/1.1\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
            let answer = talk(address, text, 9).await;
            let bodies: Vec<&str> = answer
                .split("\r\n\r\n")
                .skip(1)
                .map(|part| part.split("HTTP").next().unwrap_or_default())
                .collect();
            assert_eq!(bodies, ["80", "1", "40"]);
            assert_eq!(answer.matches("Connection: close").count(), 1);
        })
        .await;
}

#[tokio::test]
async fn a_leaver_answers_what_runs_and_reads_nothing_behind_it() {
    LocalSet::new()
        .run_until(async {
            let (address, phase) = waiting_server().await;
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream
                .write_all(b"GET /60 HTTP/1.1\r\n\r\n")
                .await
                .expect("written");
            tokio::time::sleep(Duration::from_millis(20)).await;
            phase.send_replace(ServerPhase::Leaving);
            stream
                .write_all(b"GET /1 HTTP/1.1\r\n\r\n")
                .await
                .expect("written");
            let answer = read_answers(&mut stream, 9).await;
            assert_eq!(answer.matches("HTTP/1.1 200").count(), 1, "{answer}");
            assert!(answer.contains("Connection: close"));
        })
        .await;
}

#[tokio::test]
async fn an_idle_connection_is_closed_at_the_end_of_a_leave() {
    LocalSet::new()
        .run_until(async {
            let (address, phase) = waiting_server().await;
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream
                .write_all(b"GET /1 HTTP/1.1\r\n\r\n")
                .await
                .expect("written");
            read_answers(&mut stream, 1).await;
            phase.send_replace(ServerPhase::Closing);
            assert_eq!(read_answers(&mut stream, 1).await, "");
        })
        .await;
}

#[tokio::test]
async fn a_second_answer_behind_the_own_one_spoils_the_connection() {
    LocalSet::new()
        .run_until(async {
            let both = "HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 1\r\n\r\nb";
            let (result, reusable) = exchange(scripted_server(both, false).await).await;
            assert_eq!(&result.expect("an answer").body[..], b"a");
            assert!(!reusable);
        })
        .await;
}

#[tokio::test]
async fn an_answer_to_an_earlier_request_is_passed_over() {
    LocalSet::new()
        .run_until(async {
            let late = "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 1\r\n\r\nb";
            let (result, reusable) = exchange(scripted_server(late, false).await).await;
            assert_eq!(&result.expect("an answer").body[..], b"b");
            assert!(reusable);
        })
        .await;
}

#[tokio::test]
async fn answers_that_break_off_are_never_taken_for_whole_ones() {
    LocalSet::new()
        .run_until(async {
            let short = "HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 3\r\n\r\nab";
            let chunks =
                "HTTP/1.1 200 OK\r\nid: own\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
            let head = "HTTP/1.1 200 OK\r\nid: o";
            let nonsense = "\u{1}\u{2}\u{3} HTTP";
            for bytes in [short, chunks, head, nonsense] {
                let (result, reusable) = exchange(scripted_server(bytes, true).await).await;
                assert_eq!(result.err(), Some(ExchangeError::Truncated), "{bytes}");
                assert!(!reusable);
            }
            let (result, _) = exchange(scripted_server("", true).await).await;
            assert_eq!(result.err(), Some(ExchangeError::Broken));
        })
        .await;
}
