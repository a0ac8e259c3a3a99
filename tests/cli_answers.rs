//! What the command line makes of answers that no node sends.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;

/// Exit code of a command that got no answer.
const EXIT_UNREACHABLE: i32 = 7;

/// Starts a server that answers its only request with these bytes; returns its URL.
fn start_server(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut part = [0; 4096];
        let _ = stream.read(&mut part);
        let _ = stream.write_all(answer.as_bytes());
        // The rest of the request is read, so that closing doesn't reset the connection.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    });
    format!("http://{address}")
}

/// A change that is answered so may have been accepted; it was reported as refused.
#[test]
fn answer_without_a_valid_status_does_not_refuse_a_change() {
    for status in ["000", "099", "101", "600", "999"] {
        let body = r#"{"detail":"odd"}"#;
        let length = body.len();
        let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: {length}\r\n\r\n{body}");
        let output = Command::new(env!("CARGO_BIN_EXE_sequoiagw"))
            .args(["config", "apply", "samples/mesh.toml", "--base", "0"])
            .env("SEQUOIAGW_ADMIN", start_server(answer))
            .env("SEQUOIAGW_TOKEN", "a-token-of-some-length")
            .output()
            .expect("the command runs");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(EXIT_UNREACHABLE),
            "{status}: {error}"
        );
    }
}
