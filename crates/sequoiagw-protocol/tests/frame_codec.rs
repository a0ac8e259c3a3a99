//! Framing under good and bad bytes.

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
        .expect("frame fits");
    bytes
}

#[test]
fn frames_survive_any_split_of_the_stream() {
    bolero::check!()
        .with_type::<(Vec<u64>, u8)>()
        .for_each(|(calls, step)| {
            let mut stream = BytesMut::new();
            for call in calls {
                stream.extend_from_slice(&encoded(&query_frame(*call)));
            }
            let mut codec = FrameCodec::default();
            let mut pending = BytesMut::new();
            let mut seen = Vec::new();
            for chunk in stream.chunks(usize::from(*step) + 1) {
                pending.extend_from_slice(chunk);
                while let Some(frame) = codec.decode(&mut pending).expect("valid stream") {
                    seen.push(frame);
                }
            }
            let sent: Vec<PeerFrame> = calls.iter().map(|call| query_frame(*call)).collect();
            assert_eq!(seen, sent);
        });
}

#[test]
fn garbage_never_panics_and_never_becomes_a_frame_of_another_version() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let mut source = BytesMut::from(bytes.as_slice());
        let version = bytes.get(4).copied();
        if let Ok(Some(_)) = FrameCodec::default().decode(&mut source) {
            assert_eq!(version, Some(sequoiagw_protocol::WIRE_VERSION));
        }
    });
}

#[test]
fn an_oversized_length_is_refused_before_its_bytes_arrive() {
    let length = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits");
    let mut source = BytesMut::from(length.to_be_bytes().as_slice());
    let result = FrameCodec::default().decode(&mut source);
    assert!(matches!(result, Err(FrameError::Io(_))));
}

#[test]
fn an_unknown_version_is_refused() {
    let mut bytes = encoded(&query_frame(1));
    bytes[4] = 9;
    let result = FrameCodec::default().decode(&mut bytes);
    assert!(matches!(result, Err(FrameError::Version(9))));
}

#[test]
fn a_truncated_frame_waits_and_yields_nothing() {
    let bytes = encoded(&query_frame(1));
    let mut source = BytesMut::from(&bytes[..bytes.len() - 1]);
    assert!(FrameCodec::default()
        .decode(&mut source)
        .expect("no error yet")
        .is_none());
}

#[test]
fn every_error_kind_keeps_to_the_table() {
    let mut names = std::collections::BTreeSet::new();
    for kind in ERROR_KINDS {
        let rule = kind.rule();
        assert!((400..600).contains(&rule.status), "{kind}");
        assert_ne!(rule.ran, RunState::Yes, "{kind}");
        assert_eq!(rule.retry_safe, rule.ran == RunState::No, "{kind}");
        assert!(
            !rule.reroute || rule.retry_safe,
            "{kind} would be run twice"
        );
        assert!(names.insert(rule.name), "{kind} shares its counter");
        assert_eq!(ErrorKind::from_code(kind.code()), Some(*kind));
    }
}
