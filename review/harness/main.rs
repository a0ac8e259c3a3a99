//! Runs one case of the review: `harness CASE FOLDER`. `TROUBLE=0` leaves the disruption out.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod case_departure;
mod case_stop;
mod case_upload;
mod case_watch;
mod client;
mod fleet;
mod http;
mod json;
mod node;
mod platform;
mod proxy;
mod record;
mod small_window;
mod store;
mod target;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(folder)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let verdict = match case.as_str() {
        "departure" => case_departure::run(trouble, &record),
        "watch" => case_watch::run(trouble, &record),
        "upload" => case_upload::run(trouble, &record),
        "stop" => case_stop::run(trouble, &record),
        _ => Ok(Verdict::NotRun("unknown case".to_owned())),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held(text)) => (0, format!("held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("broken: {text}")),
        Ok(Verdict::NotRun(text)) => (2, format!("not run: {text}")),
        Err(error) => (2, format!("not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
