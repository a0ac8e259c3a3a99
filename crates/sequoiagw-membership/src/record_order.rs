//! Order of records on one member.

use sequoiagw_protocol::MemberRecord;
use sequoiagw_protocol::MemberState;

/// Weight of a state within one revision: what peers conclude outweighs what the member
/// announced, until the member raises its revision.
fn state_weight(state: MemberState) -> u8 {
    match state {
        MemberState::Joining | MemberState::Ready | MemberState::Draining => 0,
        MemberState::Suspect => 1,
        MemberState::Lost => 2,
        MemberState::Left => 3,
    }
}

/// Whether `new` replaces `old`: a later boot, a later revision, or a weightier state.
pub fn is_superseded_by(old: &MemberRecord, new: &MemberRecord) -> bool {
    let place =
        |record: &MemberRecord| (record.boot, record.revision, state_weight(record.state()));
    place(old) < place(new)
}
