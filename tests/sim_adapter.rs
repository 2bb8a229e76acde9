//! The simulator adapter, driven by short transcripts on its standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The first two lines of a transcript, up to the fields of the instance's settings that tests replace.
const OPENING_TURN: &str = r#"["turn",1.0]
["openInstance",3,42,{"classes":[{"aim":0.4,"deadline":1.0,"effect":"read_like","value":1.0,"odd":[1]}],"#;

/// The rest of the opening: an endpoint list of two hosts and the first members of the fleet. Fields that the
/// adapter does not know are ignored.
const OPENING_INVENTORY: &str = r#""specifics":{"consistency":["any"],"baseTime":0,"whenBehind":"refuse"},"unknown":{"a":1}}]
["inventory",0,[["a:1",0,0,0,"active",1,null,1],["b:1",0,0,0,"active",1,null,0,"extra"]]]
["members",3,"SAVED",1,0]
"#;

/// Four lines that open an instance, so that a test's own first line is line 5.
fn opening() -> String {
    [OPENING_TURN, OPENING_INVENTORY].concat()
}

/// The arrival of a request at the instance of the opening.
const ARRIVAL: &str = "[\"arrival\",3,\"t/x\",0.9,0,null,0,0,null,0,0]\n";

/// The end of a batch.
const YOUR_TURN: &str = "[\"yourTurn\"]\n";

/// Runs the adapter on a transcript.
fn run(transcript: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pg-pooler-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at a malformed line before it has read everything.
    let _ = child.stdin.take().expect("a pipe").write_all(transcript.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn a_batch_gets_one_reply_with_the_ids_unchanged() {
    let output = run(&[&opening(), ARRIVAL, YOUR_TURN].concat());
    let reply = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(reply.contains(r#"["forward",3,"t/x","b:1","#), "{reply}");
    assert_eq!(reply.matches("[\"finished\"]").count(), 1);
    assert!(reply.ends_with("[\"finished\"]\n"));
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run(&["[\"turn\",8.4]\n", YOUR_TURN].concat());
    assert!(output.status.success());
    assert_eq!(output.stdout, b"[\"finished\"]\n");
}

#[test]
fn a_killed_instance_sends_no_actions() {
    let output = run(&[&opening(), ARRIVAL, "[\"kill\",3]\n", YOUR_TURN].concat());
    assert_eq!(output.stdout, b"[\"finished\"]\n");
}

#[test]
fn a_malformed_line_is_reported_with_its_number() {
    for malformed in [
        "{nonsense",
        "[]",
        "7",
        "[\"arrival\",3,\"t/x\",\"soon\",0,null,0,0,null,0,0]",
        "[\"unheardOf\",3]",
        "[\"done\",3,\"t/x\",0,\"a:1\",false,0.1,0,99,null]",
        "[\"members\",3,\"FULL\",1,9]",
    ] {
        let output = run(&[&opening(), malformed, "\n", YOUR_TURN].concat());
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{malformed}");
        assert!(message.contains("line 5:"), "{malformed}: {message}");
        assert!(!message.contains("panicked"), "{malformed}: {message}");
    }
}

#[test]
fn settings_out_of_range_are_reported_with_their_line() {
    for (from, to, field) in [
        (r#""deadline":1.0"#, r#""deadline":-1.0"#, "classes[0].deadline"),
        (r#"["any"]"#, r#"["any","write"]"#, "differ in length"),
        (r#""unknown""#, r#""fleetSize":0,"unknown""#, "fleetSize"),
    ] {
        let output = run(&opening().replace(from, to));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{to}");
        assert!(message.contains("line 2:"), "{message}");
        assert!(message.contains(field), "{message}");
    }
}
