//! Group commit of claims.

use std::time::Duration;

use sequoiagw_distribution::ClaimAction;
use sequoiagw_distribution::ClaimCommitter;
use sequoiagw_protocol::KeyClaim;
use sequoiagw_protocol::NodeId;
use sequoiagw_store::LeaseId;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;
use tokio::time::Instant;

struct CommitterCase {
    committer: ClaimCommitter,
    now: Instant,
    writes: u32,
    largest: usize,
    granted: usize,
    failed: usize,
    down: bool,
}

fn claim(number: u64) -> KeyClaim {
    KeyClaim {
        key: format!("press/{number}"),
        fingerprint: 1,
        node: 7,
        boot: 1,
        nonce: number,
    }
}

impl CommitterCase {
    fn new(committers: u32) -> Self {
        let mut committer = ClaimCommitter::default();
        committer.set_key_window(Duration::from_secs(900));
        committer.set_committers(committers);
        Self {
            committer,
            now: Instant::now(),
            writes: 0,
            largest: 0,
            granted: 0,
            failed: 0,
            down: false,
        }
    }

    /// Answers calls at once, as a store without latency.
    fn settle(&mut self) {
        loop {
            let actions = self.committer.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    ClaimAction::StoreCall(request) => self.answer(&request),
                    ClaimAction::Reply(_, reply) => {
                        self.granted += reply.recorded.len();
                        self.failed += reply.failed.len();
                    }
                }
            }
        }
    }

    fn answer(&mut self, request: &StoreRequest) {
        let reply = match request {
            _ if self.down => Err(StoreError::Unavailable {
                detail: "down".to_owned(),
            }),
            StoreRequest::Grant { ttl_s } => {
                assert!(*ttl_s >= 900, "claims must live for the whole window");
                Ok(StoreReply::Leased {
                    lease: LeaseId(1),
                    ttl_s: *ttl_s,
                })
            }
            StoreRequest::CreateEach { puts } => {
                self.writes += 1;
                self.largest = self.largest.max(puts.len());
                Ok(StoreReply::Created {
                    standing: vec![None; puts.len()],
                })
            }
            other => panic!("unexpected {other:?}"),
        };
        self.committer.on_reply(request, reply, self.now);
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.committer.on_tick(self.now);
            self.settle();
        }
    }

    fn take(&mut self, from: u64, count: u64) {
        let claims: Vec<KeyClaim> = (from..from + count).map(claim).collect();
        self.committer.on_claims(NodeId::from(7), &claims, self.now);
        self.settle();
    }
}

#[test]
fn all_committers_together_keep_to_the_writes_the_store_allows() {
    let mut case = CommitterCase::new(14);
    for second in 0..10 {
        for step in 0..100 {
            case.take((second * 100 + step) * 20, 20);
            case.pass(Duration::from_millis(10));
        }
    }
    let writes_per_s = f64::from(case.writes) * 14.0 / 10.0;
    assert!(
        writes_per_s <= 300.0,
        "{writes_per_s} writes a second in the fleet"
    );
    assert!(case.largest <= 128);
    assert_eq!(case.granted + case.failed, 20_000);
    assert_eq!(case.failed, 0, "2,000 claims a second fit one committer");
}

#[test]
fn a_lone_claim_is_written_at_once() {
    let mut case = CommitterCase::new(14);
    case.pass(Duration::from_secs(1));
    case.take(1, 1);
    assert_eq!((case.writes, case.granted), (1, 1));
}

#[test]
fn in_an_outage_every_claim_is_answered_as_failed() {
    let mut case = CommitterCase::new(2);
    case.down = true;
    case.take(1, 300);
    case.pass(Duration::from_secs(1));
    assert_eq!((case.granted, case.failed), (0, 300));
    case.down = false;
    case.take(1_000, 300);
    case.pass(Duration::from_secs(1));
    assert_eq!(case.granted, 300);
}
