//! Ordering of records about the same member.

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;

/// Precedence of a state within one revision. A state set by peers overrides the state that
/// the member announced, until the member raises its revision.
fn state_precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Joining | MemberState::Ready | MemberState::Draining => 0,
        MemberState::Suspect => 1,
        MemberState::Lost => 2,
        MemberState::Left => 3,
    }
}

/// Whether `new` replaces `old`: by a higher boot, then a higher revision, then a state of
/// higher precedence.
pub fn is_superseded_by(old: &MemberRecord, new: &MemberRecord) -> bool {
    let order_key = |record: &MemberRecord| {
        (
            record.boot,
            record.revision,
            state_precedence(record.state()),
        )
    };
    order_key(old) < order_key(new)
}
