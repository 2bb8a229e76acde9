use super::*;
use crate::time::tests::secs;

#[test]
fn two_draws_choose_two_different_indices() {
    let draws = |first, second| TwoChoices { first, second };
    assert_eq!(draws(3, 4).indices(0), None);
    assert_eq!(draws(3, 4).indices(1), Some([0, 0]));
    for len in 2..6 {
        for draws in (0..40).map(|number| draws(number % 7, number / 7)) {
            let [first, second] = draws.indices(len).expect("len is not 0");
            assert!(first != second && first < len && second < len, "{len} {draws:?}");
        }
    }
}

#[test]
fn a_jittered_interval_stays_in_its_range() {
    let mut rng = Rng::with_seed(1);
    let ranges = [(Jitter::WIDE, 0.5, 1.5), (Jitter::NARROW, 0.75, 1.25), (Jitter::EARLY, 0.5, 1.25)];
    for (jitter, min, max) in ranges {
        for _ in 0..100 {
            let interval = jitter.apply(secs(2.0), &mut rng);
            assert!((secs(2.0 * min)..secs(2.0 * max)).contains(&interval), "{interval:?}");
        }
    }
}
