//! Tests of the head parsers and the body decoder, also with input split at any byte.

use bytes::BytesMut;
use sequoiagw_http::parse_request;
use sequoiagw_http::parse_response;
use sequoiagw_http::BodyDecoder;
use sequoiagw_http::BodyLength;
use sequoiagw_http::BufferBudget;
use sequoiagw_http::HttpParseError;

const LIMIT: usize = 4096;

fn parse_text(text: &str) -> Result<Option<sequoiagw_http::RequestHead>, HttpParseError> {
    parse_request(&mut BytesMut::from(text), LIMIT)
}

#[test]
fn parses_request_only_once_its_head_is_complete() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    let head_end = text.find("\r\n\r\n").expect("an end of the head") + 4;
    for cut in 0..text.len() {
        let head = parse_text(&text[..cut]).expect("a valid head");
        assert_eq!(head.is_some(), cut >= head_end, "cut at {cut}");
    }
    let head = parse_text(text)
        .expect("a valid head")
        .expect("a complete head");
    assert_eq!(head.path, "/a/b?c=d");
    assert_eq!(head.body, BodyLength::Sized(3));
    assert!(head.keep_alive);
}

#[test]
fn rejects_ambiguous_body_lengths_against_request_smuggling() {
    let length_and_chunked =
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let two_lengths = "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    let signed_length = "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n";
    for text in [length_and_chunked, two_lengths, signed_length] {
        assert_eq!(parse_text(text), Err(HttpParseError::Malformed), "{text}");
    }
}

/// DENIED: a request within the limit in bytes was refused for the number of its headers.
#[test]
fn parses_request_with_as_many_headers_as_its_limit_in_bytes_allows() {
    let start = "GET / HTTP/1.1\r\n";
    for count in [0, 1, 95, 96, 97, 500, (LIMIT - start.len() - 2) / 4] {
        let text = format!("{start}{}\r\n", "a:\r\n".repeat(count));
        let head = parse_text(&text)
            .expect("a valid head")
            .expect("a complete head");
        assert_eq!(head.headers.len(), count);
        let without_returns = parse_text(&text.replace('\r', ""));
        let head = without_returns.expect("a valid head");
        assert_eq!(head.map(|head| head.headers.len()), Some(count));
        for cut in [0, start.len(), text.len() / 2, text.len() - 1] {
            assert_eq!(parse_text(&text[..cut]), Ok(None), "{count} headers");
        }
    }
    let over = format!("{start}{}\r\n", "a:\r\n".repeat(LIMIT / 4));
    assert_eq!(parse_text(&over), Err(HttpParseError::HeadTooLarge));
}

#[test]
fn rejects_oversized_head_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(LIMIT));
    assert_eq!(parse_text(&text), Err(HttpParseError::HeadTooLarge));
}

#[test]
fn decodes_chunked_body_split_at_any_byte() {
    let text = "4\r\nwxyz\r\n2;a=b\r\nuv\r\n0\r\nTrailer: 1\r\n\r\nNEXT";
    bolero::check!()
        .with_type::<Vec<u8>>()
        .for_each(|cuts: &Vec<u8>| {
            let mut decoder =
                BodyDecoder::new(BodyLength::Chunked, 100, &BufferBudget::unlimited());
            let mut buffer = BytesMut::new();
            let mut rest = text.as_bytes();
            let mut complete = false;
            let mut cuts = cuts.iter();
            while !rest.is_empty() && !complete {
                let size = cuts
                    .next()
                    .map_or(rest.len(), |cut| usize::from(cut % 7) + 1);
                let (part, remainder) = rest.split_at(size.min(rest.len()));
                buffer.extend_from_slice(part);
                rest = remainder;
                complete = decoder.decode(&mut buffer).expect("valid chunks");
            }
            assert!(complete);
            assert_eq!(&decoder.into_body()[..], b"wxyzuv");
            assert_eq!([&buffer[..], rest].concat(), b"NEXT");
        });
}

#[test]
fn rejects_body_over_its_limit() {
    let mut decoder = BodyDecoder::new(BodyLength::Sized(11), 10, &BufferBudget::unlimited());
    let refused = decoder.decode(&mut BytesMut::from("0123456789a"));
    assert_eq!(refused, Err(HttpParseError::BodyTooLarge));
}

#[test]
fn skips_interim_responses() {
    let mut buffer = BytesMut::from("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n");
    let head = parse_response(&mut buffer, "GET", LIMIT, &mut 0).expect("a valid head");
    assert_eq!(head.expect("a complete head").status, 204);
}

#[test]
fn response_without_length_ends_with_its_connection() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let head = parse_response(&mut buffer, "GET", LIMIT, &mut 0).expect("a valid head");
    let head = head.expect("a complete head");
    assert_eq!(head.body, BodyLength::UntilClose);
    assert!(!head.keep_alive);
}
