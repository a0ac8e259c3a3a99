//! CONFIG after open connections to the store went silent: a version that no node hears of.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::send;
use crate::client::Attempt;
use crate::fleet::config;
use crate::fleet::new_id;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::fleet::Route;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::Verdict;

const PLACES: [Place; 6] = [
    Place {
        service: "orders",
        zone: "eun-a",
    },
    Place {
        service: "warehouse",
        zone: "eun-a",
    },
    Place {
        service: "orders",
        zone: "eun-a",
    },
    Place {
        service: "orders",
        zone: "eun-b",
    },
    Place {
        service: "warehouse",
        zone: "eun-b",
    },
    Place {
        service: "warehouse",
        zone: "eun-b",
    },
];
const PLACE_ORDER: Route = Route {
    name: "place-order",
    kind: "non_idempotent",
    service: "orders",
    timeout_ms: 800,
    aim_ms: 250,
};
/// The route that the new version adds.
const RESTOCK: Route = Route {
    name: "restock",
    kind: "non_idempotent",
    service: "warehouse",
    timeout_ms: 800,
    aim_ms: 250,
};
/// Time without a byte after which the path between machines and store loses track of a connection.
const IDLE: Duration = Duration::from_secs(1);
/// Bounds of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const PROPAGATION: Duration = Duration::from_secs(2);
/// Time for which the new route is asked for.
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let mut proxy = None;
    let fleet = Fleet::start_behind(&PLACES, &[PLACE_ORDER], record, |store, ip| {
        let started = Proxy::start(ip, store)?;
        let address = started.address;
        proxy = Some(started);
        Ok(address)
    })?;
    let Some(proxy) = proxy else {
        return Ok(Verdict::NotRun("no proxy".to_owned()));
    };
    thread::sleep(Duration::from_secs(8));
    if trouble {
        let (forgotten, all) = proxy.forget_idle(IDLE);
        record.line(&format!(
            "{forgotten} of {all} open connections to the store go silent"
        ));
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    fleet
        .store
        .put("op/config", &config(9, &[PLACE_ORDER, RESTOCK]));
    let acknowledged = Instant::now();
    record.line("the store acknowledges version r9, which adds a route");
    let mut old = vec![Vec::new(); PLACES.len()];
    let mut served = vec![None; PLACES.len()];
    while acknowledged.elapsed() < WATCHED && served.iter().any(Option::is_none) {
        for (index, node) in fleet.nodes.iter().enumerate() {
            let attempt = Attempt {
                method: "PUT",
                path: "/restock/20".to_owned(),
                id: new_id("restock"),
                budget: Duration::from_millis(800),
                body: Vec::new(),
            };
            let sent = acknowledged.elapsed();
            match send(node.settings.outbound(), &attempt, record).status() {
                404 if sent > PROPAGATION => old[index].push(sent),
                200 => {
                    served[index].get_or_insert(sent);
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut late = 0;
    for (index, refused) in old.iter().enumerate() {
        let first = served[index].map_or("never".to_owned(), |time| {
            format!("{} ms", time.as_millis())
        });
        record.line(&format!(
            "machine {}: {} requests got 404 later than 2 s after the acknowledgement; first served after {first}",
            index + 1, refused.len()
        ));
        late += refused.len();
    }
    let text = format!("{late} requests, sent later than 2 s after the acknowledgement of r9, got 404 for its route");
    Ok(if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
