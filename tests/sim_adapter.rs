//! The simulator adapter, driven by short transcripts on its standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

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

/// Runs the adapter on the opening and one more line, and returns its message about that line, or an empty one
/// where it accepts the line.
fn message_about(line: &str) -> String {
    let output = run(&[&opening(), line, "\n", YOUR_TURN].concat());
    let message = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.success(), message.is_empty(), "{line}: {message}");
    let Some(message) = message.strip_prefix("pg-pooler-sim-adapter: line 5: ") else { return message };
    message.trim_end().to_string()
}

/// Guards against a change of the names that the simulator's side of the wire gives to messages and fields.
#[rstest]
#[case::turn(r#"["turn",null]"#, "'turn' is not a number")]
#[case::inventory(r#"["inventory","0",[]]"#, "'bank' is not a whole number")]
#[case::entries(r#"["inventory",0,{}]"#, "'membersList' is not an array")]
#[case::entry(r#"["inventory",0,[{}]]"#, "a list entry is not an array")]
#[case::entry_endpoint(r#"["inventory",0,[[1,0,0,0,"active",1,0,0]]]"#, "'member' is not a text")]
#[case::zone(r#"["inventory",0,[["a:1","0",0,0,"active",1,0,0]]]"#, "'failureDomain' is not a whole number")]
#[case::entry_group(r#"["inventory",0,[["a:1",0,0,"0","active",1,0,0]]]"#, "'cell' is not a whole number")]
#[case::status(r#"["inventory",0,[["a:1",0,0,0,null,1,0,0]]]"#, "'phase' is not a text")]
#[case::unknown_status(r#"["inventory",0,[["a:1",0,0,0,"odd",1,0,0]]]"#, "unknown phase 'odd'")]
#[case::started_at(r#"["inventory",0,[["a:1",0,0,0,"active",1,"0",0]]]"#, "'startedAt' is not a number")]
#[case::primary(r#"["inventory",0,[["a:1",0,0,0,"active",1,0,true]]]"#, "'isPrimary' is not a number")]
#[case::new_instance(r#"["openInstance","4",1,{"classes":[]}]"#, "'proxy' is not a whole number")]
#[case::seed(r#"["openInstance",4,null,{"classes":[]}]"#, "'seed' is not a number")]
#[case::settings(r#"["openInstance",4,1,{}]"#, "in 'info': 'classes' is not an array")]
#[case::kill(r#"["kill",null]"#, "'proxy' is not a whole number")]
#[case::instance(r#"["arrival"]"#, "'proxy' is not a whole number")]
#[case::unknown_message(r#"["odd",3]"#, "unknown message 'odd'")]
#[case::unknown_message_without_instance(r#"["odd"]"#, "'proxy' is not a whole number")]
#[case::update_kind(r#"["members",3,null,1,0]"#, "'kind' is not a text")]
#[case::unknown_update_kind(r#"["members",3,"ODD",1,0]"#, "unknown list kind 'ODD'")]
#[case::update_inventory(r#"["members",3,"FULL",1,"0"]"#, "'bank' is not a whole number")]
#[case::unknown_inventory(r#"["members",3,"FULL",1,9]"#, "no inventory 9")]
#[case::request(r#"["arrival",3,1,0.9,0,null,0,0,null,0,0]"#, "'corr' is not a text")]
#[case::timeout(r#"["arrival",3,"t/x",null,0,null,0,0,null,0,0]"#, "'expiresIn' is not a number")]
#[case::token_age(r#"["arrival",3,"t/x",0.9,"0",null,0,0,null,0,0]"#, "'tokenAgeMs' is not a number")]
#[case::tenant(r#"["arrival",3,"t/x",0.9,0,null,"0",0,null,0,0]"#, "'realm' is not a whole number")]
#[case::options(r#"["arrival",3,"t/x",0.9,0,null,0,"0",null,0,0]"#, "'opts' is not a whole number")]
#[case::class(r#"["arrival",3,"t/x",0.9,0,null,0,0,null,"0",0]"#, "'tierClass' is not a whole number")]
#[case::group(r#"["arrival",3,"t/x",0.9,0,null,0,0,null,0,"0"]"#, "'clusterNo' is not a whole number")]
#[case::result_request(r#"["done",3,1,0,"a:1",false,0.1,0,1,null]"#, "'corr' is not a text")]
#[case::position(r#"["done",3,"t/x","0","a:1",false,0.1,0,1,null]"#, "'posRole' is not a whole number")]
#[case::result_endpoint(r#"["done",3,"t/x",0,1,false,0.1,0,1,null]"#, "'member' is not a text")]
#[case::elapsed(r#"["done",3,"t/x",0,"a:1",false,"0",0,1,null]"#, "'costTime' is not a number")]
#[case::attempt(r#"["done",3,"t/x",0,"a:1",false,0.1,"0",1,null]"#, "'sendNo' is not a whole number")]
#[case::outcome(r#"["done",3,"t/x",0,"a:1",false,0.1,0,"1",null]"#, "'result' is not a whole number")]
#[case::unknown_outcome(r#"["done",3,"t/x",0,"a:1",false,0.1,0,9,null]"#, "unknown outcome 9")]
#[case::health_check_endpoint(r#"["echo",3,1,1,0.1,null]"#, "'member' is not a text")]
#[case::health_check_outcome(r#"["echo",3,"a:1","1",0.1,null]"#, "'result' is not a whole number")]
#[case::response_started(r#"["accepted",3,1]"#, "'corr' is not a text")]
#[case::client_disconnected(r#"["cancelledByClient",3,1]"#, "'corr' is not a text")]
#[case::timer(r#"["timeoutFired",3,"0"]"#, "'cookie' is not a whole number")]
fn a_malformed_field_is_reported_by_its_name_on_the_wire(#[case] line: &str, #[case] message: &str) {
    assert_eq!(message_about(line), message);
}

#[test]
fn every_status_update_kind_and_outcome_of_the_wire_is_accepted() {
    for status in ["active", "leaving", "left"] {
        assert_eq!(message_about(&format!(r#"["inventory",0,[["a:1",0,0,0,"{status}",1,0,0]]]"#)), "");
    }
    for kind in ["INCREMENTAL", "FULL", "SAVED", "FAILED"] {
        assert_eq!(message_about(&format!(r#"["members",3,"{kind}",1,0]"#)), "");
    }
    for outcome in 0..=8 {
        assert_eq!(message_about(&format!(r#"["done",3,"t/x",0,"a:1",false,0.1,0,{outcome},null]"#)), "");
    }
}

/// The opening with settings that let the policy take each kind of action.
fn opening_with_all_actions() -> String {
    let limits = r#""limits":{"probes":true,"cancel":true,"maxAttempts":3},"#;
    let settings = format!(r#""registryMode":"subscribe","fleetSize":500,{limits}"specifics""#);
    opening().replace(r#""specifics""#, &settings)
}

/// Checks that the reply has a line that begins like this. What follows are amounts that the policy chooses.
fn assert_has_line(transcript: &str, beginning: &str) {
    let output = run(transcript);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let reply = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(reply.lines().any(|line| line.starts_with(beginning)), "{beginning}: {reply}");
}

/// Guards against a change of the names and the order of fields in the adapter's side of the wire.
#[test]
fn every_action_is_written_by_its_name_on_the_wire() {
    let opening = opening_with_all_actions().replace("read_like", "none");
    let other_class = ARRIVAL.replace("t/x", "t/y").replace("null,0,0]", "null,7,0]");
    let failed = r#"["done",3,"t/x",0,"b:1",false,0.01,0,0,null]"#;
    let other_request = ARRIVAL.replace("t/x", "t/z");
    let not_connected = r#"["done",3,"t/z",0,"b:1",false,0.01,0,4,null]"#;
    let housekeeping = "[\"turn\",1.3]\n[\"timeoutFired\",3,0]";
    let transcript = format!(
        "{opening}{ARRIVAL}{other_class}{failed}\n{other_request}{not_connected}\n{housekeeping}\n{YOUR_TURN}"
    );
    for beginning in [
        r#"["journalLine",3,"group 0: primary is now a:1"]"#,
        r#"["remind",3,1."#,
        r#"["forward",3,"t/x","b:1",0."#,
        r#"["decline",3,"t/y",0.0]"#,
        r#"["fail",3,"t/x"]"#,
        r#"["letGo",3,"b:1"]"#,
        r#"["listen",3,true]"#,
        r#"["touch",3,"a:1"]"#,
        r#"["finished"]"#,
    ] {
        assert_has_line(&transcript, beginning);
    }
}

#[test]
fn a_cancelled_attempt_is_written_by_its_name_on_the_wire() {
    let replica = r#",["b:1",0,0,0,"active",1,null,0,"extra"]"#;
    let mut transcript = opening_with_all_actions().replace(replica, "");
    // The policy learns that answers come within 10 ms.
    for number in 0..60 {
        transcript += &ARRIVAL.replace("t/x", &format!("r/{number}"));
        transcript += &format!("[\"done\",3,\"r/{number}\",0,\"a:1\",true,0.01,0,1,null]\n");
    }
    transcript += "[\"turn\",1.01]\n";
    transcript += ARRIVAL;
    transcript += "[\"turn\",1.3]\n[\"timeoutFired\",3,0]\n";
    transcript += YOUR_TURN;
    assert_has_line(&transcript, r#"["cancel",3,"t/x",0]"#);
}
