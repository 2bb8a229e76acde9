use rstest::rstest;

use super::http_response::ResponseParser;
use super::list_splitter::{ListSplitter, MAX_LIST_LENGTH};
use super::*;
use crate::json::MAX_DEPTH;
use crate::net::buffer::{RingBuffer, MAX_BUFFER_SIZE};

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Splits a text that arrives in pieces of `piece_size` bytes.
fn split(text: &[u8], piece_size: usize) -> Result<Vec<WatchMessage>, WatchError> {
    let (mut splitter, mut messages) = (ListSplitter::default(), Vec::new());
    text.chunks(piece_size).try_for_each(|bytes| splitter.push(bytes, &mut messages))?;
    assert!(!splitter.is_inside_list());
    Ok(messages)
}

/// Parses a response that arrives in pieces of `piece_size` bytes, up to the first error or the last byte.
fn parse(text: &str, piece_size: usize) -> (Vec<u8>, Result<(), WatchError>) {
    let mut input = RingBuffer::new(&MemoryBudget::new(MAX_BUFFER_SIZE));
    let (mut parser, mut body) = (ResponseParser::new(), Vec::new());
    for bytes in text.as_bytes().chunks(piece_size) {
        input.push(bytes).unwrap();
        loop {
            match parser.next_data(&mut input) {
                Ok(Some(data)) => body.extend(data),
                Ok(None) => break,
                Err(error) => return (body, Err(error)),
            }
        }
    }
    (body, Ok(()))
}

#[rstest]
fn lists_and_heartbeats_are_separated(#[values(1, 3, 1000)] piece_size: usize) {
    let first = br#"{"a":"}\"{",
        "b":[{}]}"#;
    let text = [b"\r\n \t", &first[..], b"{}\n\n"].concat();
    let expected = [
        WatchMessage::Heartbeat,
        WatchMessage::List(first.to_vec()),
        WatchMessage::List(b"{}".to_vec()),
        WatchMessage::Heartbeat,
        WatchMessage::Heartbeat,
    ];
    assert_eq!(split(&text, piece_size).unwrap(), expected);
}

#[test]
fn other_text_between_lists_is_rejected() {
    assert_eq!(split(b"{} x", 1), Err(WatchError::UnexpectedData));
    assert_eq!(split(b"[]", 1), Err(WatchError::UnexpectedData));
}

#[test]
fn list_depth_and_length_are_bounded() {
    let nested = |depth: usize| [b"{\"a\":".repeat(depth), b"}".repeat(depth)].concat();
    assert_eq!(split(&nested(MAX_DEPTH), 1000).unwrap().len(), 1);
    assert_eq!(split(&nested(MAX_DEPTH + 1), 1000), Err(WatchError::ListTooLarge));
    let long = |length: usize| [b"{\"", &b"a".repeat(length - 4)[..], b"\"}"].concat();
    assert_eq!(split(&long(MAX_LIST_LENGTH + 1), 1000).unwrap().len(), 1);
    assert_eq!(split(&long(MAX_LIST_LENGTH + 2), 1000), Err(WatchError::ListTooLarge));
}

#[rstest]
fn a_chunked_body_is_extracted(#[values(1, 7, 1000)] piece_size: usize) {
    let text = format!("{CHUNKED}3\r\nabc\r\nA;odd=1\r\n0123456789\r\n");
    assert_eq!(parse(&text, piece_size), (b"abc0123456789".to_vec(), Ok(())));
    assert_eq!(parse(&(text + "0\r\n\r\n"), piece_size), (b"abc0123456789".to_vec(), Err(WatchError::Ended)));
}

#[test]
fn a_body_without_framing_is_unbounded() {
    assert_eq!(parse("HTTP/1.1 200 OK\r\n\r\n3\r\nabc", 4), (b"3\r\nabc".to_vec(), Ok(())));
}

#[rstest]
#[case::no_http_response("SSH-2.0-x\r\n\r\n".to_string(), WatchError::InvalidHead)]
#[case::a_long_head(format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(8 * 1024)), WatchError::InvalidHead)]
#[case::many_headers(format!("HTTP/1.1 200 OK\r\n{}\r\n", "A: a\r\n".repeat(33)), WatchError::InvalidHead)]
#[case::unexpected_status(CHUNKED.replace("200 OK", "404 Not Found"), WatchError::Rejected)]
#[case::content_length("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n".to_string(), WatchError::Rejected)]
#[case::unsupported_transfer_coding(CHUNKED.replace("chunked", "gzip"), WatchError::Rejected)]
#[case::invalid_chunk_size(format!("{CHUNKED}x\r\n"), WatchError::MalformedChunk)]
#[case::a_long_chunk_size(format!("{CHUNKED}1;{}", "a".repeat(256)), WatchError::MalformedChunk)]
#[case::no_line_end_after_a_chunk(format!("{CHUNKED}1\r\nabc"), WatchError::MalformedChunk)]
fn a_malformed_response_is_rejected(#[case] text: String, #[case] error: WatchError) {
    assert_eq!(parse(&text, 1000).1, Err(error));
    assert_eq!(parse(&text, 1).1, Err(error));
}

/// A list with the maximum number of endpoints and an indentation of eight spaces.
#[test]
fn an_indented_list_of_the_largest_fleet_is_decoded() {
    const MAX_ENDPOINTS: usize = 3200;
    let entry = r#"{
                "name": "s-5be2a07c",
                "address": "127.100.100.100:65535",
                "zone": "a-zone-with-a-long-name",
                "type": "m2",
                "group": 3199,
                "status": "DRAINING",
                "weight": 1.0,
                "access": "writer",
                "since_ms": 1767225600123
        }"#;
    let entries = vec![entry; MAX_ENDPOINTS].join(",\n        ");
    let text = format!(
        "{{\n        \"index\": 41,\n        \"snapshot\": true,\n        \"endpoints\": [{entries}]\n}}\n"
    );
    let messages = split(text.as_bytes(), 65_536).unwrap();
    let Some(WatchMessage::List(list)) = messages.first() else {
        panic!("no list among {} messages", messages.len())
    };
    assert_eq!(decode_list(list).unwrap().endpoints.len(), MAX_ENDPOINTS);
}
