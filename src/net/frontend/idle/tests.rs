use rstest::rstest;

use super::*;

#[rstest]
#[case::a_quarter(25, None)]
#[case::more_than_a_quarter(26, Some(IDLE_TIMEOUT))]
#[case::half(50, Some(IDLE_TIMEOUT))]
#[case::more_than_half(51, Some(SHORT_IDLE_TIMEOUT))]
fn the_idle_timeout_depends_on_the_connections_in_use(
    #[case] open_connections: usize,
    #[case] expected: Option<Duration>,
) {
    assert_eq!(idle_timeout(open_connections, 100), expected);
}
