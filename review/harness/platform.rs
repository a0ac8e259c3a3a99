//! What the platform does beside its store: it asks each node for readiness, and decides which
//! machines' consumers receive new work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::node::is_ready;
use crate::record::Record;

/// Interval between two questions to a node.
const QUESTION_INTERVAL: Duration = Duration::from_secs(1);
/// Misses after which the consumers of a machine receive no new work.
const MISSES_UNTIL_OUT: u32 = 2;

struct Machine {
    zone: String,
    ready: SocketAddr,
    misses: AtomicU32,
}

/// The platform's view of the nodes. Clones share it.
#[derive(Clone)]
pub struct Platform {
    machines: Arc<Vec<Machine>>,
}

impl Platform {
    /// Starts to ask the nodes, each at a moment of its own in the second.
    pub fn start(nodes: &[(String, SocketAddr)], record: &Record) -> Self {
        let machines = nodes.iter().map(|(zone, ready)| Machine {
            zone: zone.clone(),
            ready: *ready,
            misses: AtomicU32::new(0),
        });
        let platform = Self {
            machines: Arc::new(machines.collect()),
        };
        let count = platform.machines.len() as u32;
        for index in 0..platform.machines.len() {
            let platform = platform.clone();
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(QUESTION_INTERVAL * index as u32 / count);
                loop {
                    let asked = Instant::now();
                    platform.ask(index, &record);
                    thread::sleep(QUESTION_INTERVAL.saturating_sub(asked.elapsed()));
                }
            });
        }
        platform
    }

    fn ask(&self, index: usize, record: &Record) {
        let machine = &self.machines[index];
        let before = machine.misses.load(Ordering::SeqCst);
        let misses = if is_ready(machine.ready) {
            0
        } else {
            before.saturating_add(1)
        };
        machine.misses.store(misses, Ordering::SeqCst);
        if (before >= MISSES_UNTIL_OUT) != (misses >= MISSES_UNTIL_OUT) {
            let state = if misses == 0 { "in" } else { "out" };
            record.line(&format!("platform: machine {} is {state}", index + 1));
        }
    }

    fn is_in(&self, index: usize) -> bool {
        self.machines[index].misses.load(Ordering::SeqCst) < MISSES_UNTIL_OUT
    }

    /// Whether the consumers of a machine receive new work: after two misses only if fewer than half
    /// of the zone's nodes are in.
    pub fn gives_work(&self, index: usize) -> bool {
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (other, machine) in self.machines.iter().enumerate() {
            let (all, inside) = zones.entry(&machine.zone).or_default();
            *all += 1;
            *inside += usize::from(self.is_in(other));
        }
        let (all, inside) = zones[self.machines[index].zone.as_str()];
        self.is_in(index) || inside * 2 < all
    }
}
