//! The cases of the review. Usage: `cases NAME FOLDER`, with the command of the pooler in `RUN`.

mod endless;
mod extra;
mod flood;
mod fresh;
mod gone;
mod hog;
#[allow(dead_code)]
mod kit;
mod slow_discovery;
mod stale;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    kit::open_record(Path::new(&arguments[2]));
    kit::start_watchdog();
    rec!("case {}, disruption {}", arguments[1], if kit::trouble() { "on" } else { "off" });
    let status = match arguments[1].as_str() {
        "endless" => endless::run(),
        "extra" => extra::run(),
        "stale" => stale::run(),
        "flood" => flood::run(),
        "fresh" => fresh::run(),
        "gone" => gone::run(),
        "hog" => hog::run(),
        "slow-discovery" => slow_discovery::run(),
        other => panic!("unknown case {other}"),
    };
    kit::finish(status);
}
