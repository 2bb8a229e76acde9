//! Property test: random but legal sequences of events must never make the policy break an invariant.
//!
//! `workload` generates the events of a seed around the simulated endpoints of `hosts`. `checker` checks
//! every action against the events so far, of which it keeps `records`. `coverage` counts how often the
//! invariants were at stake.

mod checker;
mod coverage;
mod hosts;
mod records;
mod workload;

use coverage::Coverage;
use rstest::rstest;
use workload::{Failure, Workload};

/// Seeds of one test case.
const SEEDS_PER_CASE: u64 = 60;
/// Random events of one seed; answers, health checks and timers come on top.
const EVENTS_PER_SEED: usize = 400;

/// Runs the seeds of a case and reports the failure that took the fewest events. Fails as well when the
/// events no longer reach the states in which the invariants matter.
#[rstest]
fn random_events_never_violate_an_invariant(#[values(0, 1, 2, 3)] case: u64) {
    let mut coverage = Coverage::default();
    let mut failures: Vec<Failure> = Vec::new();
    for seed in case * SEEDS_PER_CASE..(case + 1) * SEEDS_PER_CASE {
        let mut workload = Workload::new(seed);
        failures.extend(workload.run(EVENTS_PER_SEED).err());
        coverage.add(&workload.checker.coverage);
    }
    if let Some(shortest) = failures.iter().min_by_key(|failure| failure.events) {
        panic!("{} of {SEEDS_PER_CASE} seeds fail; the shortest trace:\n{shortest}", failures.len());
    }
    coverage.assert_sufficient();
}
