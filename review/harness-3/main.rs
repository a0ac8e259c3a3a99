//! Scripts of the third review. Usage: `review-3 SCENARIO FOLDER`, in the repository's root.
//!
//! Each scenario starts nodes with the command of the deploy file and stand-ins of the store, the
//! targets and the consumers, all on loopback addresses. It writes `record.txt` into FOLDER and exits
//! with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod fleet;
mod http;
mod json;
mod node;
mod pipelined_refusal;
mod pipelined_stop;
mod silent_watch;
mod store;
mod target;

use std::path::PathBuf;

/// How a scenario ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-3 SCENARIO FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match scenario.as_str() {
        "silent-watch" => silent_watch::run(&folder, with_trouble),
        "pipelined-stop" => pipelined_stop::run(&folder, with_trouble),
        "pipelined-refusal" => pipelined_refusal::run(&folder, with_trouble),
        other => Outcome::CouldNotRun(format!("unknown scenario {other}")),
    };
    match outcome {
        Outcome::Held => println!("held"),
        Outcome::Broken => {
            println!("BROKEN");
            std::process::exit(1);
        }
        Outcome::CouldNotRun(reason) => {
            println!("could not run: {reason}");
            std::process::exit(2);
        }
    }
}
