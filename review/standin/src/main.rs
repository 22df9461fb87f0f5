//! Plays the scripted cases of the review; `review-standin CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. With TROUBLE=0 the disruption is left out.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{process::exit, thread, time::Duration};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = record::Record::create(path);
    record.line(&format!("case {case}, trouble: {trouble}"));
    let (case, played) = (case.clone(), record.clone());
    // The deployment ends its processes when the thread does, also in a panic.
    let playing = thread::spawn(move || match case.as_str() {
        "late-store" => cases::late_store(played, trouble),
        "late-heartbeats" => cases::late_heartbeats(played, trouble),
        "backlog" => cases::backlog(played, trouble),
        "reborn" => cases::reborn(played, trouble),
        "wide-step" => cases::wide_step(played, trouble),
        "lasting" => cases::lasting(played, trouble),
        "gang-apart" => cases::gang_apart(played, trouble),
        "gang" => cases::gang(played, trouble),
        _ => None,
    });
    let broken = playing.join().unwrap_or(None);
    thread::sleep(Duration::from_millis(50));
    let (code, text) = match broken {
        Some(true) => (1, "rule broken"),
        Some(false) => (0, "rule held"),
        None => (2, "the case could not run"),
    };
    record.line(text);
    println!("{text}");
    exit(code);
}
