use rstest::rstest;

use super::*;

#[rstest]
#[case::interrupted(4, true)]
#[case::no_memory(12, true)]
#[case::no_file_in_the_system(ENFILE, true)]
#[case::no_file_in_the_process(EMFILE, true)]
#[case::no_buffers(ENOBUFS, true)]
#[case::no_address_left(EADDRNOTAVAIL, true)]
#[case::address_in_use(98, false)]
#[case::no_such_file(2, false)]
#[case::access_denied(13, false)]
fn only_temporary_shortages_and_interruptions_are_transient(#[case] number: i32, #[case] expected: bool) {
    assert_eq!(is_transient(&io::Error::from_raw_os_error(number)), expected);
}

#[test]
fn a_call_is_retried_until_it_succeeds_or_its_error_is_not_transient() {
    let mut errors = vec![2, ENFILE, EMFILE];
    let mut call = || errors.pop().map_or(Ok(()), |number| Err(io::Error::from_raw_os_error(number)));
    assert_eq!(retry(&mut call, is_transient).unwrap_err().raw_os_error(), Some(2));
    assert!(retry(call, is_transient).is_ok());
}
