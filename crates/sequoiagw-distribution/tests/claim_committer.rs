//! Group commit of claims against a simulated store.

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

struct CommitterHarness {
    committer: ClaimCommitter,
    now: Instant,
    writes: u32,
    largest_batch: usize,
    recorded: usize,
    failed: usize,
    store_down: bool,
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

impl CommitterHarness {
    fn new(committers: u32) -> Self {
        let mut committer = ClaimCommitter::default();
        committer.set_key_window(Duration::from_secs(900));
        committer.set_committers(committers);
        Self {
            committer,
            now: Instant::now(),
            writes: 0,
            largest_batch: 0,
            recorded: 0,
            failed: 0,
            store_down: false,
        }
    }

    /// Answers store requests at once, like a store without latency.
    fn process_actions(&mut self) {
        loop {
            let actions = self.committer.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    ClaimAction::StoreCall(request) => self.answer_store_request(&request),
                    ClaimAction::Reply(_, reply) => {
                        self.recorded += reply.recorded.len();
                        self.failed += reply.failed.len();
                    }
                }
            }
        }
    }

    fn answer_store_request(&mut self, request: &StoreRequest) {
        let reply = match request {
            _ if self.store_down => Err(StoreError::Unavailable {
                detail: "down".to_owned(),
            }),
            StoreRequest::Grant { ttl_s } => {
                assert!(*ttl_s >= 900, "a lease must last for the whole key window");
                Ok(StoreReply::Leased {
                    lease: LeaseId(1),
                    ttl_s: *ttl_s,
                })
            }
            StoreRequest::CreateEach { puts } => {
                self.writes += 1;
                self.largest_batch = self.largest_batch.max(puts.len());
                Ok(StoreReply::Created {
                    existing_entries: vec![None; puts.len()],
                })
            }
            other => panic!("unexpected store request {other:?}"),
        };
        self.committer.on_reply(request, reply, self.now);
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.committer.on_tick(self.now);
            self.process_actions();
        }
    }

    fn submit_claims(&mut self, first: u64, count: u64) {
        let claims: Vec<KeyClaim> = (first..first + count).map(claim).collect();
        self.committer.on_claims(NodeId::from(7), &claims, self.now);
        self.process_actions();
    }
}

#[test]
fn committers_stay_within_fleet_write_rate() {
    let mut harness = CommitterHarness::new(14);
    for second in 0..10 {
        for step in 0..100 {
            harness.submit_claims((second * 100 + step) * 20, 20);
            harness.run_for(Duration::from_millis(10));
        }
    }
    let writes_per_s = f64::from(harness.writes) * 14.0 / 10.0;
    assert!(
        writes_per_s <= 300.0,
        "the fleet must make at most 300 writes per second, made {writes_per_s}"
    );
    assert!(harness.largest_batch <= 128);
    assert_eq!(harness.recorded + harness.failed, 20_000);
    assert_eq!(
        harness.failed, 0,
        "one committer must handle 2,000 claims per second"
    );
}

#[test]
fn writes_single_claim_immediately() {
    let mut harness = CommitterHarness::new(14);
    harness.run_for(Duration::from_secs(1));
    harness.submit_claims(1, 1);
    assert_eq!((harness.writes, harness.recorded), (1, 1));
}

#[test]
fn fails_all_claims_while_store_is_down() {
    let mut harness = CommitterHarness::new(2);
    harness.store_down = true;
    harness.submit_claims(1, 300);
    harness.run_for(Duration::from_secs(1));
    assert_eq!((harness.recorded, harness.failed), (0, 300));
    harness.store_down = false;
    harness.submit_claims(1_000, 300);
    harness.run_for(Duration::from_secs(1));
    assert_eq!(harness.recorded, 300);
}
