//! Strings of the protocol: text that ends with a zero byte.

/// Parses bytes that are exactly one string, and returns it without its final zero.
pub(super) fn parse_string(bytes: &[u8]) -> Option<&str> {
    let (last, rest) = bytes.split_last()?;
    let text = std::str::from_utf8(rest).ok()?;
    (*last == 0 && !text.contains('\0')).then_some(text)
}

/// Appends `text` and a zero.
pub(super) fn push_string(out: &mut Vec<u8>, text: &str) {
    out.extend(text.as_bytes());
    out.push(0);
}
