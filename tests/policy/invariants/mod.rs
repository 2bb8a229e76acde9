//! Property test: the policy must not violate an invariant in any random, valid sequence of events.
//!
//! `workload` generates the events of a seed, with the simulated endpoints of `hosts`. `checker` checks every
//! action against the events so far, which it keeps as `records`. `coverage` counts how often the invariants
//! were exercised.

mod checker;
mod coverage;
mod hosts;
mod records;
mod workload;

use coverage::Coverage;
use rstest::rstest;
use workload::{Failure, Workload};

/// Number of seeds of each test case.
const SEEDS_PER_CASE: u64 = 60;
/// Number of random events of each seed, not counting the results of attempts and health checks, and timers.
const EVENTS_PER_SEED: usize = 400;

/// Runs the seeds of a case and reports the failure with the fewest events. Also fails if the events no
/// longer reach the states in which the invariants matter.
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
