//! The operators' pages name every reason that is counted and logged.

use sequoiagw_policy::RETRY_REASONS;
use sequoiagw_protocol::ERROR_KINDS;
use sequoiagw_protocol::FRAME_KINDS;

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const CALLERS: &str = include_str!("../../../docs/CALLERS.md");

#[test]
fn every_refusal_stands_on_the_callers_page() {
    for kind in ERROR_KINDS {
        let name = kind.rule().name;
        assert!(CALLERS.contains(name), "{name}");
    }
}

#[test]
fn every_retry_reason_and_kind_of_traffic_stands_on_the_operators_page() {
    for reason in RETRY_REASONS {
        assert!(OPERATIONS.contains(reason.name()), "{}", reason.name());
    }
    for kind in FRAME_KINDS {
        assert!(OPERATIONS.contains(&kind.to_string()), "{kind}");
    }
}
