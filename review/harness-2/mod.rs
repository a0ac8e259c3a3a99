//! Stand-ins for the scripts of the second review: the platform's store, backend servers and
//! callers, and the node processes under test. Only the standard library is used.

#![allow(dead_code)]

pub mod backend;
pub mod caller;
pub mod fleet;
pub mod http;
pub mod json;
pub mod node;
pub mod record;
pub mod store;

use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Starts a case: opens its record and runs it. The arguments are the root of the repository and
/// the folder of the case. Returns the exit code.
pub fn run_case<Case>(case: Case) -> i32
where
    Case: FnOnce(&std::path::Path) -> i32,
{
    let arguments: Vec<String> = std::env::args().collect();
    let [_, root, folder] = arguments.as_slice() else {
        eprintln!("arguments: the root of the repository and the folder of the case");
        return NOT_RUN;
    };
    let file = std::path::Path::new(folder).join("record.txt");
    if let Err(error) = record::start(&file) {
        eprintln!("{}: {error}", file.display());
        return NOT_RUN;
    }
    let code = case(std::path::Path::new(root));
    record::say(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case couldn't run",
    });
    code
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| time.as_millis() as u64)
}

/// A loopback network of its own for a case: addresses `127.a.b.N`, on which all given ports
/// are free.
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Finds a network whose first `hosts` addresses have all `ports` free.
    pub fn find(hosts: u8, ports: &[u16]) -> Option<Self> {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 7);
        for attempt in 0..200u64 {
            let mixed = (seed + attempt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let network = Self {
                second: 16 + ((mixed >> 40) % 200) as u8,
                third: 1 + ((mixed >> 50) % 250) as u8,
            };
            let free = (1..=hosts).all(|host| {
                ports
                    .iter()
                    .all(|port| TcpListener::bind((network.ip(host), *port)).is_ok())
            });
            if free {
                return Some(network);
            }
        }
        None
    }

    /// Address of a host, counted from 1.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }
}
