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
