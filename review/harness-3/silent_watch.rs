//! Connections to the store go silent while they carry a change of the configuration.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{config, Consumers, Fleet, Machine, Record, Route, Stream};
use crate::store::Store;
use crate::Outcome;

/// Bounds of the small deployments.
const CONFIG_PROPAGATION: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Time for which answers on connections that are already open stop midway.
const SILENCE_TIME: Duration = Duration::from_millis(500);
/// Bytes of an answer that still arrive.
const BYTES_BEFORE_SILENCE: usize = 16 * 1024;
/// Routes of the configuration that nobody uses: those of the small sites and one `big_config`.
const IDLE_ROUTES: usize = 650;
/// Pace of the store's answers on one connection.
const BYTES_PER_S: f64 = 1_250_000.0;
const MACHINES: &[Machine] = &[
    ("nave-a", "press-old"),
    ("nave-a", "press-new"),
    ("nave-a", "press-old"),
    ("nave-b", "press-new"),
    ("nave-b", "press-old"),
    ("nave-b", "press-new"),
];

pub fn run(folder: &Path, with_trouble: bool) -> Outcome {
    let record = Record::new();
    let store = Store::start("127.0.0.1", 1000, BYTES_PER_S);
    let route = |service| Route {
        name: "r-press",
        prefix: "/press/",
        service,
        idempotent: true,
        timeout_ms: 1200,
    };
    store.put("op/config", &config(3, &[route("press-old")], IDLE_ROUTES));
    let fleet = Fleet::start(store.clone(), MACHINES, Duration::from_millis(20));
    if let Err(reason) = fleet.wait_until_ready() {
        return Outcome::CouldNotRun(reason);
    }
    let stream = Stream {
        method: "GET",
        path: "/press/dies/7",
        interval: Duration::from_millis(50),
        time_budget: Duration::from_millis(1500),
        headers: Vec::new(),
    };
    let consumers = Consumers::start(&fleet, &stream, "a");
    thread::sleep(Duration::from_secs(4));
    let disruption_end = with_trouble.then(|| Instant::now() + SILENCE_TIME);
    if with_trouble {
        record.add(format!(
            "for {SILENCE_TIME:?}, answers of the store on connections that are open now stop for good after {BYTES_BEFORE_SILENCE} bytes"
        ));
        store.silence_open_connections(SILENCE_TIME, BYTES_BEFORE_SILENCE);
    }
    thread::sleep(Duration::from_millis(100));
    store.put("op/config", &config(4, &[route("press-new")], IDLE_ROUTES));
    let acknowledged = Instant::now();
    record.add("version r4 is acknowledged: the route moves from press-old to press-new".to_owned());
    thread::sleep(Duration::from_secs(12));
    let attempts = consumers.stop();
    let (silent, last_silent) = store.silenced();
    if let Some(at) = last_silent {
        record.add_at(at, format!("the last of {silent} connections goes silent; new ones work"));
    }
    // All machines are in touch again `STABLE_WINDOW` after the end of the disruption.
    let judged_from = disruption_end
        .map_or(acknowledged, |at| at + STABLE_WINDOW)
        .max(acknowledged + CONFIG_PROPAGATION);
    record.add_at(judged_from, "from here on all machines are in touch and the bound is over".to_owned());
    let mut served = [0, 0];
    let mut late = 0;
    for attempt in &attempts {
        let ran_by = if attempt.body.ends_with("press-old") {
            served[0] += 1;
            "press-old"
        } else if attempt.body.ends_with("press-new") {
            served[1] += 1;
            "press-new"
        } else {
            "none"
        };
        let is_late = attempt.sent > judged_from && ran_by == "press-old";
        late += u32::from(is_late);
        record.add_at(
            attempt.sent,
            format!(
                "{} sent to {}: status {}, run by {ran_by}{}",
                attempt.id,
                fleet.nodes[attempt.node].host.name,
                attempt.status,
                if is_late { " AGAINST THE RULE" } else { "" }
            ),
        );
    }
    let latest_old = attempts.iter().filter(|attempt| attempt.body.ends_with("press-old"));
    let latest_old = latest_old.map(|attempt| attempt.sent).max();
    let latest_old = latest_old.map_or(0.0, |at| {
        record.seconds(at) - record.seconds(acknowledged)
    });
    let summary = format!(
        "{} attempts, {} run by press-old, {} by press-new; the last run by press-old was sent {latest_old:.2} s after the acknowledgement; {late} against the rule",
        attempts.len(), served[0], served[1]
    );
    println!("{summary}");
    record.add(summary);
    record.write(folder);
    if served[0] == 0 || served[1] == 0 {
        return Outcome::CouldNotRun("the consumers were not served by both services".to_owned());
    }
    if with_trouble && silent == 0 {
        return Outcome::CouldNotRun("no connection went silent".to_owned());
    }
    if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
