//! Checks that the documentation lists every error kind, retry reason and frame kind.

use sequoiagw_policy::RETRY_REASONS;
use sequoiagw_protocol::ERROR_KINDS;
use sequoiagw_protocol::FRAME_KINDS;

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const CALLERS_PAGE: &str = include_str!("../../../docs/CALLERS.md");

#[test]
fn callers_page_lists_every_error_kind() {
    for kind in ERROR_KINDS {
        let name = kind.rule().name;
        assert!(CALLERS_PAGE.contains(name), "CALLERS.md should list {name}");
    }
}

#[test]
fn operations_page_lists_every_retry_reason_and_frame_kind() {
    for reason in RETRY_REASONS {
        assert!(
            OPERATIONS_PAGE.contains(reason.name()),
            "OPERATIONS.md should list {}",
            reason.name()
        );
    }
    for kind in FRAME_KINDS {
        assert!(
            OPERATIONS_PAGE.contains(&kind.to_string()),
            "OPERATIONS.md should list {kind}"
        );
    }
}
