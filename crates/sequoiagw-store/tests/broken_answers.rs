//! A broken answer of the store says nothing of whether a write took effect.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use sequoiagw_store::EtcdStore;
use sequoiagw_store::PlatformStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreRequest;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a store that answers its only request with these bytes; returns its endpoint.
fn start_store(answer: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut received = Vec::new();
        let mut part = [0; 4096];
        // The body is JSON in one object.
        while !received.ends_with(b"}") {
            let count = stream.read(&mut part).expect("a successful read");
            received.extend_from_slice(&part[..count]);
        }
        let _ = stream.write_all(&answer);
    });
    format!("http://{address}")
}

#[tokio::test]
async fn write_with_a_broken_answer_stays_open() {
    let body = r#"{"header":{"revision":"2"},"succeeded":true}"#;
    let length = body.len();
    let sized = format!("Content-Length: {length}\r\n\r\n{body}");
    let answers = [
        format!("HTTP/1.1 000 Odd\r\n{sized}"),
        format!("HTTP/1.1 099 Odd\r\n{sized}"),
        format!("HTTP/1.1 101 Odd\r\n{sized}"),
        format!("HTTP/1.1 600 Odd\r\n{sized}"),
        format!("HTTP/1.1 999 Odd\r\n{sized}"),
        format!("HTTP/1.1 200 OK\r\nX-Field : 1\r\n{sized}"),
        format!("HTTP/1.1 200 OK\r\nX\0Field: 1\r\n{sized}"),
        format!("HTTP/1.1 200 OK\r\n\nX-Field: 1\r\n{sized}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}"),
    ];
    for answer in answers {
        let endpoint = start_store(answer.clone().into_bytes());
        let store = EtcdStore::new(vec![endpoint], CALL_TIMEOUT);
        let commit = StoreRequest::Commit {
            conditions: Vec::new(),
            puts: Vec::new(),
            deletes: vec!["a".to_owned()],
        };
        let result = store.call(commit).await;
        let is_open = matches!(
            result,
            Err(StoreError::Unavailable { .. } | StoreError::Malformed { .. })
        );
        assert!(is_open, "{answer:?}: {result:?}");
    }
}
