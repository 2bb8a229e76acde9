//! Protocol strings: text that ends with a zero byte.

/// The byte that terminates a string, and also a list of strings.
pub(super) const TERMINATOR: u8 = 0;

/// Parses bytes that consist of exactly one string, and returns it without the terminator.
///
/// Returns `None` if the terminator is missing, if the text contains a zero byte, or if it is not UTF-8.
pub(super) fn parse_string(bytes: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(bytes.strip_suffix(&[TERMINATOR])?).ok()?;
    (!text.bytes().any(|byte| byte == TERMINATOR)).then_some(text)
}

/// Appends `text` and its terminator.
pub(super) fn push_string(out: &mut Vec<u8>, text: impl AsRef<[u8]>) {
    out.extend(text.as_ref());
    out.push(TERMINATOR);
}
