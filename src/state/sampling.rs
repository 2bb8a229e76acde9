//! Random choices.

/// Two different places among `len`, from two random numbers; the same place twice if there is only one.
pub(crate) fn two_of(len: usize, draws: (usize, usize)) -> Option<[usize; 2]> {
    let last = len.checked_sub(1)?;
    let first = draws.0 % len;
    let second = draws.1 % last.max(1);
    let second = if second >= first { (second + 1).min(last) } else { second };
    Some([first, second])
}
