//! Tests of frame encoding and decoding with valid and invalid bytes, and of the error kinds.

use bytes::BytesMut;
use sequoiagw_protocol::CallQuery;
use sequoiagw_protocol::ErrorKind;
use sequoiagw_protocol::FrameBody;
use sequoiagw_protocol::FrameCodec;
use sequoiagw_protocol::FrameError;
use sequoiagw_protocol::NodeId;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::RunState;
use sequoiagw_protocol::ERROR_KINDS;
use sequoiagw_protocol::MAX_FRAME_BYTES;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

fn query_frame(call: u64) -> PeerFrame {
    let query = CallQuery {
        call,
        target_boot: 7,
    };
    PeerFrame::new(NodeId::from_name("a"), 3, FrameBody::Query(query))
}

fn encoded(frame: &PeerFrame) -> BytesMut {
    let mut bytes = BytesMut::new();
    FrameCodec::default()
        .encode(frame, &mut bytes)
        .expect("the frame is within the size limit");
    bytes
}

#[test]
fn decodes_frames_from_any_split_of_the_stream() {
    bolero::check!()
        .with_type::<(Vec<u64>, u8)>()
        .for_each(|(calls, chunk_size)| {
            let mut stream = BytesMut::new();
            for call in calls {
                stream.extend_from_slice(&encoded(&query_frame(*call)));
            }
            let mut codec = FrameCodec::default();
            let mut buffer = BytesMut::new();
            let mut received = Vec::new();
            for chunk in stream.chunks(usize::from(*chunk_size) + 1) {
                buffer.extend_from_slice(chunk);
                while let Some(frame) = codec.decode(&mut buffer).expect("the stream is valid") {
                    received.push(frame);
                }
            }
            let sent: Vec<PeerFrame> = calls.iter().map(|call| query_frame(*call)).collect();
            assert_eq!(received, sent);
        });
}

#[test]
fn arbitrary_bytes_do_not_panic_or_decode_as_another_version() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let mut source = BytesMut::from(bytes.as_slice());
        let version = bytes.get(4).copied();
        if let Ok(Some(_)) = FrameCodec::default().decode(&mut source) {
            assert_eq!(version, Some(sequoiagw_protocol::WIRE_VERSION));
        }
    });
}

#[test]
fn rejects_oversized_length_before_payload_arrives() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("the length fits into u32");
    let mut source = BytesMut::from(length.to_be_bytes().as_slice());
    let result = FrameCodec::default().decode(&mut source);
    assert!(matches!(result, Err(FrameError::Io(_))));
}

#[test]
fn rejects_unknown_version() {
    let mut bytes = encoded(&query_frame(1));
    bytes[4] = 9;
    let result = FrameCodec::default().decode(&mut bytes);
    assert!(matches!(result, Err(FrameError::Version(9))));
}

#[test]
fn truncated_frame_yields_nothing_yet() {
    let bytes = encoded(&query_frame(1));
    let mut source = BytesMut::from(&bytes[..bytes.len() - 1]);
    assert!(FrameCodec::default()
        .decode(&mut source)
        .expect("a partial frame is no error")
        .is_none());
}

#[test]
fn error_rules_are_consistent() {
    let mut names = std::collections::BTreeSet::new();
    for kind in ERROR_KINDS {
        let rule = kind.rule();
        assert!((400..600).contains(&rule.status), "{kind}");
        assert_ne!(rule.ran, RunState::Yes, "{kind}");
        assert_eq!(rule.retry_safe, rule.ran == RunState::No, "{kind}");
        assert!(
            !rule.reroute || rule.retry_safe,
            "{kind} is rerouted although a retry is unsafe"
        );
        assert!(
            names.insert(rule.name),
            "{kind} has the same counter name as another kind"
        );
        assert_eq!(ErrorKind::from_code(kind.code()), Some(*kind));
    }
}
