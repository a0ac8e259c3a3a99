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

/// Whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Response with this line in its head, behind the status line or behind another field.
fn responses_with_line(line: &[u8]) -> [Vec<u8>; 2] {
    let start: &[u8] = b"HTTP/1.1 200 OK\r\n";
    let field: &[u8] = b"Id: own\r\n";
    let rest: &[u8] = b"\r\nContent-Length: 2\r\n\r\nok";
    [
        [start, line, rest].concat(),
        [start, field, line, rest].concat(),
    ]
}

/// MIXED, seen on other systems: a field whose name held a blank or a control byte was passed on, or
/// ignored together with what it said of the body.
#[test]
fn names_of_fields_with_other_bytes_than_those_of_names_are_refused() {
    let other_bytes = (0..=255u8).filter(|&byte| !is_name_byte(byte) && byte != b':');
    let mut lines = Vec::new();
    for byte in other_bytes {
        for name in ["X-Field", "Content-Length", "Transfer-Encoding"] {
            let value = if name == "Transfer-Encoding" {
                "chunked"
            } else {
                "1"
            };
            for place in 0..=name.len() {
                let (before, after) = name.as_bytes().split_at(place);
                lines.push([before, &[byte], after, b": ", value.as_bytes()].concat());
            }
        }
    }
    let long_name = "x".repeat(LIMIT / 2);
    for name in [
        "",
        " ",
        "X-Field ",
        "X-Field\t",
        "X Field",
        &format!("{long_name} "),
    ] {
        lines.push(format!("{name}: 1").into_bytes());
    }
    lines.push(b"X-Field".to_vec());
    lines.push(b"X-Field: 1\r\n folded".to_vec());
    lines.push(b"X-Field: 1\r\n\tfolded: 1".to_vec());
    assert_refused(lines.iter().flat_map(|line| responses_with_line(line)));
}

#[test]
fn values_of_fields_with_control_bytes_are_refused() {
    let controls = (0..=255u8).filter(|byte| byte.is_ascii_control() && *byte != b'\t');
    let lines = controls.map(|byte| [b"X-Field: a", &[byte][..], b"b"].concat());
    assert_refused(lines.flat_map(|line| responses_with_line(&line)));
}

/// A check of names must not refuse what a server may send.
#[test]
fn fields_with_all_bytes_that_names_may_hold_are_read() {
    let name: String = (0..=127u8)
        .filter(|&byte| is_name_byte(byte))
        .map(char::from)
        .collect();
    let long_name = "x".repeat(LIMIT / 2);
    for line in [
        format!("{name}: 1"),
        format!("{long_name}: 1"),
        "X-Field:1".to_owned(),
        "X-Field: \t 1 \t ".to_owned(),
        "X-Field:".to_owned(),
        "X-Field: a: b, \"c\"".to_owned(),
    ] {
        for response in responses_with_line(line.as_bytes()) {
            let read = read_response(&response);
            assert_eq!(read, Some((200, b"ok".to_vec())), "{line}");
        }
    }
}

/// Response whose body is sent in chunks, as these bytes.
fn chunked(body: &[u8]) -> Vec<u8> {
    let head: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    [head, body].concat()
}

/// MIXED: a body was taken for whole although its chunks weren't valid.
#[test]
fn chunks_that_are_not_valid_are_refused() {
    let mut bodies: Vec<Vec<u8>> = [
        // Sizes.
        " 2\r\nok\r\n0\r\n\r\n",
        "\t2\r\nok\r\n0\r\n\r\n",
        "\u{b}2\r\nok\r\n0\r\n\r\n",
        "2\u{c}\r\nok\r\n0\r\n\r\n",
        "2\u{a0}\r\nok\r\n0\r\n\r\n",
        "+2\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n",
        "0x2\r\nok\r\n0\r\n\r\n",
        "2 0\r\nok\r\n0\r\n\r\n",
        "\r\nok\r\n0\r\n\r\n",
        ";a\r\nok\r\n0\r\n\r\n",
        "g\r\nok\r\n0\r\n\r\n",
        "2,\r\nok\r\n0\r\n\r\n",
        "11111111111111112\r\nok\r\n0\r\n\r\n",
        "2\nok\r\n0\r\n\r\n",
        "2\rok\r\n0\r\n\r\n",
        "2\r\nok\n0\r\n\r\n",
        "2\r\nok0\r\n\r\n",
        "1\r\nok\r\n0\r\n\r\n",
        // Extensions.
        "2;a\nb\r\nok\r\n0\r\n\r\n",
        "2;a\rb\r\nok\r\n0\r\n\r\n",
        // Trailers.
        "2\r\nok\r\n0\r\nSum\r\n\r\n",
        "2\r\nok\r\n0\r\n: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nSum : 1\r\n\r\n",
        "2\r\nok\r\n0\r\nS um: 1\r\n\r\n",
        "2\r\nok\r\n0\r\n Sum: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nSum: 1\r\n folded\r\n\r\n",
        "2\r\nok\r\n0\r\nSum: 1\nNext: 1\r\n\r\n",
        "2\r\nok\r\n0\r\nSum: 1\rNext: 1\r\n\r\n",
        "2\r\nok\r\n0\r\n\nSum: 1\r\n\r\n",
    ]
    .iter()
    .map(|body| body.as_bytes().to_vec())
    .collect();
    let controls = (0..=255u8).filter(|byte| byte.is_ascii_control() && *byte != b'\t');
    for byte in controls {
        bodies.push([b"2;a", &[byte][..], b"b\r\nok\r\n0\r\n\r\n"].concat());
        bodies.push([b"2\r\nok\r\n0;a", &[byte][..], b"b\r\n\r\n"].concat());
        bodies.push([b"2\r\nok\r\n0\r\nS", &[byte][..], b"um: 1\r\n\r\n"].concat());
        bodies.push([b"2\r\nok\r\n0\r\nSum: 1", &[byte][..], b"2\r\n\r\n"].concat());
    }
    assert_refused(bodies.iter().map(|body| chunked(body)));
}

/// A check of chunks must not refuse what a server may send.
#[test]
fn valid_chunks_are_read() {
    for body in [
        &b"2\r\nok\r\n0\r\n\r\n"[..],
        b"0002\r\nok\r\n000\r\n\r\n",
        b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"2 \t\r\nok\r\n0 \r\n\r\n",
        b"2;a\r\nok\r\n0;b\r\n\r\n",
        b"2 ; a = \"b;\\\"c\t\xe9\" ;d=e\r\nok\r\n0\r\n\r\n",
        b"2\r\nok\r\n0\r\nSum: 1\r\nNext:\r\nOther: \xe9\xff\r\n\r\n",
        b"2\r\nok\r\n0\r\nContent-Length: 9\r\n\r\n",
    ] {
        let read = read_response(&chunked(body));
        assert_eq!(read, Some((200, b"ok".to_vec())), "{}", body.escape_ascii());
    }
}

/// MIXED: HTTP/1.0 has no chunks, so a body that is sent in them has no known end.
#[test]
fn chunks_in_a_response_of_an_earlier_version_are_refused() {
    let chunked = "Transfer-Encoding: chunked\r\n";
    let body = "\r\n2\r\nok\r\n0\r\n\r\n";
    let fields = ["", "Connection: keep-alive\r\n", "Content-Length: 12\r\n"];
    assert_refused(
        fields.map(|field| format!("HTTP/1.0 200 OK\r\n{field}{chunked}{body}").into_bytes()),
    );
}

#[test]
fn lengths_that_contradict_each_other_or_are_no_numbers_are_refused() {
    let framings = [
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked;a=b",
        "Transfer-Encoding:",
        "Content-Length: 2\r\nContent-Length: 3",
        "Content-Length: 2, 3",
        "Content-Length: +2",
        "Content-Length: -2",
        "Content-Length: 0x2",
        "Content-Length: 2 2",
        "Content-Length: 2.0",
        "Content-Length: 18446744073709551616",
        "Content-Length:",
    ];
    assert_refused(
        framings.map(|framing| format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\nok").into_bytes()),
    );
}

/// HTTP allows bytes from 0x80 in the value of a field; the whole answer was refused for one that isn't
/// UTF-8. Fields that say how to read the message can't be left out.
#[test]
fn only_the_field_is_left_out_whose_value_is_not_utf_8() {
    for (line, names) in [
        (&b"X-Note: caf\xe9"[..], &["Id", "Content-Length"][..]),
        (b"X-Note: caf\xc3\xa9", &["Id", "X-Note", "Content-Length"]),
    ] {
        let [_, response] = responses_with_line(line);
        let mut buffer = BytesMut::from(&response[..]);
        let head = parse_response(&mut buffer, "GET", LIMIT, &mut 0)
            .expect("a valid head")
            .expect("a complete head");
        let read: Vec<&str> = head.headers.iter().map(|field| &*field.name).collect();
        assert_eq!(read, names, "{}", line.escape_ascii());
        assert_eq!(&buffer[..], b"ok");
    }
    let fields = [
        "Content-Encoding",
        "content-type",
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
    ];
    let lines = fields.map(|name| [name.as_bytes(), b": a\xff"].concat());
    assert_refused(lines.iter().flat_map(|line| responses_with_line(line)));
}

/// Valid responses, which the property test damages.
const VALID_RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nId: own\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nSum: 1\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 404 Not Found\r\nId: own\r\n\r\nok",
    "HTTP/1.0 599 Odd\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
];

/// Whatever damage a response has, what the client takes of it is valid HTTP.
#[test]
fn damaged_responses_are_refused_or_valid() {
    bolero::check!()
        .with_type::<(u8, Vec<(u16, u8)>)>()
        .for_each(|(choice, damages)| {
            let text = VALID_RESPONSES[usize::from(*choice) % VALID_RESPONSES.len()];
            let mut bytes = text.as_bytes().to_vec();
            for (place, byte) in damages {
                let place = usize::from(*place) % bytes.len();
                bytes[place] = *byte;
            }
            let mut buffer = BytesMut::from(&bytes[..]);
            let Ok(Some(head)) = parse_response(&mut buffer, "GET", LIMIT, &mut 0) else {
                return;
            };
            assert!((200..600).contains(&head.status.get()));
            for field in &head.headers {
                let is_name = !field.name.is_empty() && field.name.bytes().all(is_name_byte);
                assert!(is_name, "{}", field.name.escape_debug());
                let mut value = field.value.bytes();
                assert!(value.all(|byte| byte == b'\t' || !byte.is_ascii_control()));
            }
            let _ = read_response(&bytes);
        });
}
