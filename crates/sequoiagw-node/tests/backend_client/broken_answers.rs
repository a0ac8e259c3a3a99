//! Answers that are none: they are broken ones, and nothing of them is believed.

use sequoiagw_node::HttpBackend;
use sequoiagw_policy::BackendResult;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::run;
use crate::start_closing_server;

/// Result of a call that is answered with these bytes before the connection closes.
async fn result_of(answer: &[u8]) -> BackendResult {
    let (sender, mut events) = mpsc::unbounded_channel();
    let backend = HttpBackend::new(sender);
    let address = start_closing_server(answer.to_vec()).await;
    run(&backend, address, &mut events).await
}

/// Checks that each of these answers counts as a broken one.
async fn assert_broken(answers: &[Vec<u8>]) {
    let mut failures = Vec::new();
    for answer in answers {
        let result = result_of(answer).await;
        if !matches!(result, BackendResult::Broken | BackendResult::Truncated) {
            failures.push(format!("{}: {result:?}", answer.escape_ascii()));
        }
    }
    assert!(failures.is_empty(), "believed:\n{}", failures.join("\n"));
}

/// MIXED: answers with such a status were passed on.
#[tokio::test]
async fn answers_without_a_valid_status_are_broken() {
    LocalSet::new()
        .run_until(async {
            let mut answers = Vec::new();
            for status in ["000", "001", "099", "101", "600", "999"] {
                for said in ["", "Sequoiagw-Not-Run: true\r\n"] {
                    let text =
                        format!("HTTP/1.1 {status} Odd\r\n{said}Content-Length: 2\r\n\r\nok");
                    answers.push(text.into_bytes());
                }
            }
            assert_broken(&answers).await;
        })
        .await;
}

/// MIXED, seen on other systems: a field whose name held a blank or a control byte was passed on, or
/// ignored together with what it said of the body.
#[tokio::test]
async fn answers_with_a_blank_or_control_byte_in_the_name_of_a_field_are_broken() {
    let name_bytes = [
        &[b' '][..],
        &(0..32u8).collect::<Vec<_>>(),
        &[127, 128, 255],
    ]
    .concat();
    let mut answers = Vec::new();
    for byte in name_bytes {
        for place in 0..="X-Field".len() {
            let (before, after) = b"X-Field".split_at(place);
            let name = [before, &[byte], after].concat();
            answers.push(
                [
                    b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n",
                    &name[..],
                    b": 1\r\nContent-Length: 2\r\n\r\nok",
                ]
                .concat(),
            );
        }
    }
    for line in [
        ": 1",
        "X-Field : 1",
        "Content-Length : 1",
        "X-Field: 1\r\n folded",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 2\r\n\r\nok");
        answers.push(text.into_bytes());
    }
    LocalSet::new().run_until(assert_broken(&answers)).await;
}

/// MIXED: a body without a valid framing was passed on.
#[tokio::test]
async fn answers_with_broken_framing_are_broken() {
    let chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    let framings = [
        format!("Content-Length: 2\r\nTransfer-Encoding: chunked{chunks}"),
        format!("Transfer-Encoding: gzip, chunked{chunks}"),
        "Transfer-Encoding: gzip\r\n\r\nok".to_owned(),
        "Transfer-Encoding: identity\r\n\r\nok".to_owned(),
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok".to_owned(),
        "Content-Length: 2x\r\n\r\nok".to_owned(),
        "Content-Length: 3\r\n\r\nok".to_owned(),
        "Transfer-Encoding: chunked\r\n\r\n 2\r\nok\r\n0\r\n\r\n".to_owned(),
        "Transfer-Encoding: chunked\r\n\r\n2;a\nb\r\nok\r\n0\r\n\r\n".to_owned(),
        "Transfer-Encoding: chunked\r\n\r\n2;a\0b\r\nok\r\n0\r\n\r\n".to_owned(),
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nS um: 1\r\n\r\n".to_owned(),
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum\r\n\r\n".to_owned(),
    ];
    let mut answers: Vec<Vec<u8>> = framings
        .iter()
        .map(|framing| format!("HTTP/1.1 200 OK\r\n{framing}").into_bytes())
        .collect();
    answers.push(format!("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked{chunks}").into_bytes());
    LocalSet::new().run_until(assert_broken(&answers)).await;
}

/// REFUSED, TWICE: a refusal that names a request by an id that isn't UTF-8 doesn't name this one.
#[tokio::test]
async fn refusal_with_an_id_that_is_not_utf_8_is_not_believed() {
    LocalSet::new()
        .run_until(async {
            let answer = b"HTTP/1.1 503 Busy\r\nSequoiagw-Not-Run: true\r\n\
                           X-Request-Id: call-\xff\r\nContent-Length: 0\r\n\r\n";
            assert_eq!(result_of(answer).await, BackendResult::Truncated);
        })
        .await;
}

/// HTTP allows bytes from 0x80 in the value of a field.
#[tokio::test]
async fn answer_with_a_field_that_is_not_utf_8_is_passed_on() {
    LocalSet::new()
        .run_until(async {
            let answer = b"HTTP/1.1 200 OK\r\nX-Note: caf\xe9\r\nContent-Length: 2\r\n\r\nok";
            let result = result_of(answer).await;
            assert!(
                matches!(result, BackendResult::Answered { .. }),
                "{result:?}"
            );
        })
        .await;
}

/// A check of answers must not refuse what a backend server may send.
#[tokio::test]
async fn valid_answers_are_passed_on_whole() {
    let sized = "Content-Length: 2\r\n\r\nok";
    let chunked =
        "Transfer-Encoding: chunked\r\n\r\n1;a=\"b c\"\r\no\r\n01 \r\nk\r\n0\r\nSum: 1\r\n\r\n";
    let cases = [
        ("HTTP/1.1 200 OK", 200, sized),
        ("HTTP/1.1 200 OK", 200, chunked),
        ("HTTP/1.1 200 OK", 200, "\r\nok"),
        ("HTTP/1.0 200 OK", 200, "\r\nok"),
        ("HTTP/1.1 404 Not Found", 404, sized),
        ("HTTP/1.1 599 Odd", 599, sized),
        ("HTTP/1.1 299", 299, sized),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", 200, sized),
    ];
    LocalSet::new()
        .run_until(async {
            for (start, expected, rest) in cases {
                let answer = format!("{start}\r\n{rest}");
                let result = result_of(answer.as_bytes()).await;
                let BackendResult::Answered { status, body, .. } = result else {
                    panic!("{answer:?}: {result:?}");
                };
                assert_eq!(status, expected, "{answer:?}");
                assert_eq!(&body[..], b"ok", "{answer:?}");
            }
        })
        .await;
}
