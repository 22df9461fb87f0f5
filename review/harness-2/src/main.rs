//! Runs one case of the review: `review-harness-2 CASE`. See `review/REPORT-2.md`.

mod cases;
mod deployment;
mod http;
mod json;
mod soak;
mod store;
mod world;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    std::process::exit(cases::run(&name));
}
