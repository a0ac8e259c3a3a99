//! Heads and bodies, cut at any byte.

use bytes::BytesMut;
use sequoiagw_http::parse_request;
use sequoiagw_http::parse_response;
use sequoiagw_http::BodyDecoder;
use sequoiagw_http::BodyLength;
use sequoiagw_http::HttpParseError;

const LIMIT: usize = 4096;

fn request(text: &str) -> Result<Option<sequoiagw_http::RequestHead>, HttpParseError> {
    parse_request(&mut BytesMut::from(text), LIMIT)
}

#[test]
fn a_request_is_read_only_when_its_head_is_whole() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz";
    let whole = text.find("\r\n\r\n").expect("an end") + 4;
    for cut in 0..text.len() {
        let head = request(&text[..cut]).expect("valid");
        assert_eq!(head.is_some(), cut >= whole, "cut at {cut}");
    }
    let head = request(text).expect("valid").expect("whole");
    assert_eq!(head.path, "/a/b?c=d");
    assert_eq!(head.body, BodyLength::Sized(3));
    assert!(head.keep_alive);
}

#[test]
fn a_request_with_two_lengths_is_refused_so_that_none_hides_in_a_body() {
    let both = "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let twice = "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
    let signed = "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n";
    for text in [both, twice, signed] {
        assert_eq!(request(text), Err(HttpParseError::Malformed), "{text}");
    }
}

#[test]
fn a_head_over_the_limit_is_refused_before_it_is_whole() {
    let text = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(LIMIT));
    assert_eq!(request(&text), Err(HttpParseError::HeadTooLarge));
}

#[test]
fn a_chunked_body_is_put_together_whatever_the_cuts() {
    let text = "4\r\nwxyz\r\n2;a=b\r\nuv\r\n0\r\nTrailer: 1\r\n\r\nNEXT";
    bolero::check!()
        .with_type::<Vec<u8>>()
        .for_each(|cuts: &Vec<u8>| {
            let mut decoder = BodyDecoder::new(BodyLength::Chunked, 100);
            let mut buffer = BytesMut::new();
            let mut rest = text.as_bytes();
            let mut whole = false;
            let mut cuts = cuts.iter();
            while !rest.is_empty() && !whole {
                let size = cuts
                    .next()
                    .map_or(rest.len(), |cut| usize::from(cut % 7) + 1);
                let (part, left) = rest.split_at(size.min(rest.len()));
                buffer.extend_from_slice(part);
                rest = left;
                whole = decoder.decode(&mut buffer).expect("valid chunks");
            }
            assert!(whole);
            assert_eq!(&decoder.into_body()[..], b"wxyzuv");
            assert_eq!([&buffer[..], rest].concat(), b"NEXT");
        });
}

#[test]
fn a_body_over_its_limit_is_refused() {
    let mut decoder = BodyDecoder::new(BodyLength::Sized(11), 10);
    let refused = decoder.decode(&mut BytesMut::from("0123456789a"));
    assert_eq!(refused, Err(HttpParseError::BodyTooLarge));
}

#[test]
fn interim_answers_are_passed_over() {
    let mut buffer = BytesMut::from("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n");
    let head = parse_response(&mut buffer, "GET", LIMIT).expect("valid");
    assert_eq!(head.expect("whole").status, 204);
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection_and_closes_it() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let head = parse_response(&mut buffer, "GET", LIMIT).expect("valid");
    let head = head.expect("whole");
    assert_eq!(head.body, BodyLength::UntilClose);
    assert!(!head.keep_alive);
}
