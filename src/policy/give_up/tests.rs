use super::*;
use crate::policy::request::tests::pending;
use crate::policy::request::Attempt;
use crate::settings::{Idempotency, Settings};
use crate::time::tests::{at, secs};

fn cluster(now: f64, settings: Settings) -> Cluster {
    let mut cluster = Cluster::new(settings);
    cluster.advance_to(at(now));
    cluster
}

fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![RequestClass { idempotency, ..RequestClass::default() }],
        max_retry_after: secs(10.0),
        ..Settings::default()
    }
}

fn retry_after(now: f64, settings: Settings) -> Option<Span> {
    let answer = final_answer(
        &pending("a", 0),
        GiveUpReason::NoCapacity,
        &cluster(now, settings),
        &mut Rng::with_seed(1),
    );
    match answer {
        Action::Reject { retry_after, .. } => retry_after,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_possibly_executed_request_that_must_not_be_repeated_fails() {
    let mut request = pending("a", 0);
    request.add_attempt(Attempt::new(0, at(0.1)));
    let cluster = cluster(0.2, settings(Idempotency::NonIdempotent));
    let answer = final_answer(&request, GiveUpReason::RetryBudgetExhausted, &cluster, &mut Rng::with_seed(1));
    assert_eq!(answer, Action::Fail { id: "a".into(), reason: GiveUpReason::RetryBudgetExhausted });
}

#[test]
fn the_retry_after_is_short_until_the_objective_expires_and_long_afterwards() {
    let short = secs(0.03)..secs(0.09);
    let long = secs(0.5)..secs(1.5);
    let idempotent = || settings(Idempotency::Idempotent);
    assert!(retry_after(0.1, idempotent()).is_some_and(|pause| short.contains(&pause)));
    assert!(retry_after(0.6, idempotent()).is_some_and(|pause| long.contains(&pause)));
    let late_counts = RequestClass { late_weight: 0.5, ..RequestClass::default() };
    let pause = retry_after(0.6, Settings { classes: vec![late_counts], ..idempotent() });
    assert!(pause.is_some_and(|pause| short.contains(&pause)));
}

#[test]
fn the_settings_limit_or_forbid_the_retry_after() {
    let limited = Settings { max_retry_after: secs(0.01), ..settings(Idempotency::Idempotent) };
    assert_eq!(retry_after(0.1, limited), Some(secs(0.01)));
    let forbidden = Settings { send_retry_after: false, ..settings(Idempotency::Idempotent) };
    assert_eq!(retry_after(0.1, forbidden), None);
}

#[test]
fn missing_capacity_or_endpoints_count_as_load_shedding() {
    assert!(GiveUpReason::NoCapacity.is_load_shedding() && GiveUpReason::NoEndpoint.is_load_shedding());
    assert!(!GiveUpReason::QueueTimeout.is_load_shedding() && !GiveUpReason::Shutdown.is_load_shedding());
}
