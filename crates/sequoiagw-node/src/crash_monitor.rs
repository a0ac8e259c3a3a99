//! Watches the runs at this node's backend server for crashes, and holds back requests that cause
//! them.

use std::time::Duration;

use sequoiagw_policy::BackendResult;
use sequoiagw_policy::CrashTable;
use sequoiagw_policy::CrashVerdict;
use sequoiagw_policy::HeldRequest;
use sequoiagw_policy::RequestDigest;
use sequoiagw_policy::RequestIdentity;
use sequoiagw_policy::RunId;
use sequoiagw_policy::ServerProcess;
use sequoiagw_protocol::CallDispatch;
use sequoiagw_protocol::CrashRecord;
use sequoiagw_protocol::CrashRecords;
use sequoiagw_telemetry::REQUEST_LOG_TARGET;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::record_budget::RecordBudget;
use crate::NodeCounters;

/// Time for which new records are collected before they are sent. The runs that end with one process
/// end within it.
const NEWS_DELAY: Duration = Duration::from_millis(5);
/// Records from which on a message is a copy of a large table. A full table has no use for it.
const LARGE_COPY_RECORDS: usize = 1024;

/// Process of the backend server whose end was seen.
#[derive(Clone, Copy, Debug)]
struct EndedProcess {
    server: ServerProcess,
    /// First run that started after its end was seen.
    next_run: RunId,
}

/// Crashes under requests, as this node sees them and as others report them.
#[derive(Debug)]
pub struct CrashMonitor {
    table: CrashTable,
    /// Current process of the backend server; `None` while it is leaving or unknown.
    server: Option<ServerProcess>,
    ended: Option<EndedProcess>,
    /// Records for the other nodes.
    news: Vec<CrashRecord>,
    /// When the news is sent.
    news_due: Option<Instant>,
    sync_budget: RecordBudget,
    counters: NodeCounters,
}

impl CrashMonitor {
    /// Creates a monitor that knows of no crash.
    pub fn new(counters: NodeCounters) -> Self {
        Self {
            table: CrashTable::default(),
            server: None,
            ended: None,
            news: Vec::new(),
            news_due: None,
            sync_budget: RecordBudget::default(),
            counters,
        }
    }

    /// Sets the current process of the backend server, whose end is a crash; `None` while it is
    /// leaving or unknown.
    pub fn set_server(&mut self, server: Option<ServerProcess>) {
        self.server = server;
    }

    /// Whether the current process of the backend server was seen to end.
    pub fn server_ended(&self) -> bool {
        self.ended
            .is_some_and(|ended| self.server == Some(ended.server))
    }

    /// Whether a request may be sent to a backend server.
    pub fn verdict(&self, identity: &RequestIdentity<'_>) -> CrashVerdict {
        if self.table.is_empty() {
            return CrashVerdict::Allowed;
        }
        let verdicts = identity
            .variants()
            .map(|variant| self.table.verdict(variant.digest()));
        verdicts.max().unwrap_or(CrashVerdict::Allowed)
    }

    /// Logs why a call is refused whose request is held back.
    pub fn log_held_call(&self, request_id: &str, identity: &RequestIdentity<'_>, now: Instant) {
        let mut digests = identity.variants().map(|variant| variant.digest());
        let Some(held) = digests.find_map(|digest| self.table.held_request(digest, now)) else {
            return;
        };
        info!(
            target: REQUEST_LOG_TARGET,
            event = "call_held", request = request_id, digest = %held.digest,
            servers = join_servers(&held), crash_span_ms = held.crash_span.as_millis() as u64,
            held_ms = held.held_for.as_millis() as u64
        );
    }

    /// Handles the end of a run.
    pub fn on_run_finished(
        &mut self,
        run: RunId,
        dispatch: &CallDispatch,
        result: &BackendResult,
        next_run: RunId,
        now: Instant,
    ) {
        let identity = RequestIdentity::of_dispatch(dispatch);
        match result {
            BackendResult::Crashed => self.on_crash(dispatch, &identity, next_run, now),
            BackendResult::Answered { status, .. } => {
                self.on_response(run, now);
                // Entries remember what ran well; here it only matters for requests with records.
                if !status.is_server_error() && !self.table.is_empty() {
                    for variant in identity.variants() {
                        self.on_ran_well(variant.digest(), now);
                    }
                }
            }
            BackendResult::Shed => self.on_response(run, now),
            _ => {}
        }
    }

    fn on_crash(
        &mut self,
        dispatch: &CallDispatch,
        identity: &RequestIdentity<'_>,
        next_run: RunId,
        now: Instant,
    ) {
        let Some(server) = self.server else {
            self.counters.count("crash.planned_end");
            return;
        };
        if self.ended.is_none_or(|ended| ended.server != server) {
            self.ended = Some(EndedProcess { server, next_run });
            self.counters.count("crash.server_ended");
        }
        for variant in identity.variants() {
            self.record_crash(dispatch, &variant, server, now);
        }
    }

    fn record_crash(
        &mut self,
        dispatch: &CallDispatch,
        identity: &RequestIdentity<'_>,
        server: ServerProcess,
        now: Instant,
    ) {
        let digest = identity.digest();
        self.table.record_crash(digest, server, now);
        self.counters.count("crash.recorded");
        info!(
            target: REQUEST_LOG_TARGET,
            event = "crash_recorded", request = %dispatch.request_id, digest = %digest,
            server = %server
        );
        self.collect_news(now);
    }

    /// A response to a run that started after the end of its process shows that the process lives.
    fn on_response(&mut self, run: RunId, now: Instant) {
        let alive = self
            .ended
            .filter(|ended| run >= ended.next_run && self.server == Some(ended.server));
        if let Some(ended) = alive {
            self.ended = None;
            self.counters.count("crash.server_alive");
            self.table.record_alive(ended.server, now);
            self.collect_news(now);
        }
    }

    /// Records that a request of a caller of this node ran well.
    pub fn on_ran_well(&mut self, digest: RequestDigest, now: Instant) {
        self.table.record_success(digest, now);
        self.collect_news(now);
    }

    fn collect_news(&mut self, now: Instant) {
        self.news.extend(self.table.take_changes());
        if !self.news.is_empty() {
            self.news_due.get_or_insert(now + NEWS_DELAY);
        }
    }

    /// Takes over records from another node; returns those that are new here.
    pub fn merge(&mut self, received: &CrashRecords, now: Instant) -> Vec<CrashRecord> {
        if received.records.len() >= LARGE_COPY_RECORDS && self.table.is_full() {
            self.counters.count("crash.copy_skipped");
            return Vec::new();
        }
        let new_records = self.table.merge(&received.records, now);
        self.collect_news(now);
        new_records
    }

    /// Returns the records for the other nodes once they are due.
    pub fn take_due_news(&mut self, now: Instant) -> Vec<CrashRecord> {
        if self.news_due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.news_due = None;
        std::mem::take(&mut self.news)
    }

    /// When [`Self::take_due_news`] has something to return.
    pub fn news_due(&self) -> Option<Instant> {
        self.news_due
    }

    /// Message with some records and the hash of all.
    pub fn message(&self, records: Vec<CrashRecord>) -> CrashRecords {
        CrashRecords {
            records,
            hash: self.table.hash(),
            requests_all: false,
        }
    }

    /// Message with all records, `None` if so many have been sent lately that it has to wait.
    pub fn full_message(&mut self, requests_all: bool, now: Instant) -> Option<CrashRecords> {
        let records = self.table.records(now);
        if !self.sync_budget.take(records.len(), now) {
            self.counters.count("crash.sync_deferred");
            return None;
        }
        Some(CrashRecords {
            requests_all,
            ..self.message(records)
        })
    }

    /// Answer to a message, `None` if none is needed: all records, if the sender requests them or
    /// knows others than this node.
    pub fn answer_to(&mut self, received: &CrashRecords, now: Instant) -> Option<CrashRecords> {
        if received.requests_all {
            return self.full_message(false, now);
        }
        let announces_difference = received.records.is_empty() && received.hash != self.hash();
        if announces_difference {
            return self.full_message(true, now);
        }
        None
    }

    /// Hash of all records, 0 without any.
    pub fn hash(&self) -> u64 {
        self.table.hash()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Requests that are held back.
    pub fn held(&self, now: Instant) -> Vec<HeldRequest> {
        self.table.held(now)
    }

    /// Logs and counts the requests that are held back from now on; returns whether there are any.
    pub fn report_newly_held(&mut self, now: Instant) -> bool {
        let newly_held = self.table.take_newly_held(now);
        for held in &newly_held {
            self.counters.count("crash.request_held");
            warn!(
                event = "request_held", digest = %held.digest, servers = join_servers(held),
                crash_span_ms = held.crash_span.as_millis() as u64
            );
        }
        !newly_held.is_empty()
    }

    /// Forgets what is long ago.
    pub fn on_tick(&mut self, now: Instant) {
        self.table.expire(now);
    }
}

fn join_servers(held: &HeldRequest) -> String {
    let servers: Vec<String> = held.servers.iter().map(ToString::to_string).collect();
    servers.join(",")
}
