//! Which bytes the client takes for a response, and what it reads of them.

use bytes::BytesMut;
use sequoiagw_http::parse_response;
use sequoiagw_http::BodyDecoder;
use sequoiagw_http::BufferBudget;

/// Largest accepted head and body, in bytes.
const LIMIT: usize = 4096;

/// Status and body of a response that is complete once its connection ends; `None` if it isn't one.
fn read_response(bytes: &[u8]) -> Option<(u16, Vec<u8>)> {
    let mut buffer = BytesMut::from(bytes);
    let head = parse_response(&mut buffer, "GET", LIMIT, &mut 0).ok()??;
    let mut decoder = BodyDecoder::new(head.body, LIMIT as u64, &BufferBudget::unlimited());
    let complete = decoder.decode(&mut buffer).ok()?;
    if !complete && !decoder.is_complete_at_eof() {
        return None;
    }
    Some((head.status.get(), decoder.into_body().to_vec()))
}

/// Checks that each of these is refused.
fn assert_refused<Cases>(cases: Cases)
where
    Cases: IntoIterator<Item = Vec<u8>>,
{
    let mut failures = Vec::new();
    for case in cases {
        if let Some((status, body)) = read_response(&case) {
            let shown = case.escape_ascii();
            failures.push(format!("{shown}: {status}, {}", body.escape_ascii()));
        }
    }
    assert!(
        failures.is_empty(),
        "taken for responses:\n{}",
        failures.join("\n")
    );
}

/// MIXED: a status that no final response may have was passed on.
#[test]
fn statuses_outside_of_200_to_599_are_refused() {
    let out_of_range = (0..100).chain(600..1000);
    assert_refused(out_of_range.map(|status| {
        format!("HTTP/1.1 {status:03} Odd\r\nContent-Length: 2\r\n\r\nok").into_bytes()
    }));
    for status in 200..600 {
        let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(read_response(text.as_bytes()), Some((status, Vec::new())));
    }
}

/// MIXED: no request asks for an upgrade, so what follows a 101 isn't HTTP.
#[test]
fn switch_to_another_protocol_is_refused() {
    assert_refused([
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\nHTTP/1.1 200 OK\r\n\
          Content-Length: 2\r\n\r\nok"
            .to_vec(),
        b"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok".to_vec(),
    ]);
}

#[test]
fn status_lines_that_are_not_http_are_refused() {
    let lines = [
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -01 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 ",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "http/1.1 200 OK",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\u{7f}K",
        "200 OK",
    ];
    assert_refused(
        lines
            .iter()
            .map(|line| format!("{line}\r\nContent-Length: 2\r\n\r\nok").into_bytes()),
    );
}
