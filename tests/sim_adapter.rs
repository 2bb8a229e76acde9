//! Tests of the simulator adapter with short transcripts on its standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

/// The first two lines of a transcript, up to the settings of the instance that tests replace.
const SETUP_START: &str = r#"["turn",1.0]
["openInstance",3,42,{"classes":[{"aim":0.4,"deadline":1.0,"effect":"read_like","value":1.0,"odd":[1]}],"#;

/// The rest of the setup: the other settings, an inventory of two endpoints, and an update that refers to it.
/// The adapter ignores fields that it does not know.
const SETUP_END: &str = r#""specifics":{"consistency":["any"],"baseTime":0,"whenBehind":"refuse"},"unknown":{"a":1}}]
["inventory",0,[["a:1",0,0,0,"active",1,null,1],["b:1",0,0,0,"active",1,null,0,"extra"]]]
["members",3,"SAVED",1,0]
"#;

/// Returns four lines that set up an instance, so the first line of the test itself is line 5.
fn setup() -> String {
    [SETUP_START, SETUP_END].concat()
}

/// A request to the instance of the setup.
const REQUEST: &str = "[\"arrival\",3,\"t/x\",0.9,0,null,0,0,null,0,0]\n";

/// The end of a batch.
const END_OF_BATCH: &str = "[\"yourTurn\"]\n";

/// Runs the adapter with a transcript as its input.
fn run(transcript: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pg-pooler-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Writing may fail: the adapter exits at a malformed line, possibly before it has read everything.
    let _ = child.stdin.take().expect("a pipe").write_all(transcript.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn a_batch_receives_one_reply_with_the_same_ids() {
    let output = run(&[&setup(), REQUEST, END_OF_BATCH].concat());
    let reply = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(reply.contains(r#"["forward",3,"t/x","b:1","#), "{reply}");
    assert_eq!(reply.matches("[\"finished\"]").count(), 1);
    assert!(reply.ends_with("[\"finished\"]\n"));
}

#[test]
fn an_empty_batch_receives_an_empty_reply() {
    let output = run(&["[\"turn\",8.4]\n", END_OF_BATCH].concat());
    assert!(output.status.success());
    assert_eq!(output.stdout, b"[\"finished\"]\n");
}

#[test]
fn a_closed_instance_sends_no_actions() {
    let output = run(&[&setup(), REQUEST, "[\"kill\",3]\n", END_OF_BATCH].concat());
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
        let output = run(&[&setup(), malformed, "\n", END_OF_BATCH].concat());
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
        let output = run(&setup().replace(from, to));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{to}");
        assert!(message.contains("line 2:"), "{message}");
        assert!(message.contains(field), "{message}");
    }
}

/// Runs the adapter on the setup and one more line. Returns the error that it reports for that line, or an
/// empty string if it accepts the line.
fn error_for_line(line: &str) -> String {
    let output = run(&[&setup(), line, "\n", END_OF_BATCH].concat());
    let message = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.success(), message.is_empty(), "{line}: {message}");
    let Some(message) = message.strip_prefix("pg-pooler-sim-adapter: line 5: ") else { return message };
    message.trim_end().to_string()
}

/// Guards against changes to the names and positions of messages and fields that the simulator sends.
#[rstest]
#[case::turn(r#"["turn",null]"#, "'turn' is not a number")]
#[case::inventory(r#"["inventory","0",[]]"#, "'bank' is not an integer")]
#[case::entries(r#"["inventory",0,{}]"#, "'membersList' is not an array")]
#[case::entry(r#"["inventory",0,[{}]]"#, "an inventory entry is not an array")]
#[case::entry_endpoint(r#"["inventory",0,[[1,0,0,0,"active",1,0,0]]]"#, "'member' is not a string")]
#[case::zone(r#"["inventory",0,[["a:1","0",0,0,"active",1,0,0]]]"#, "'failureDomain' is not an integer")]
#[case::entry_group(r#"["inventory",0,[["a:1",0,0,"0","active",1,0,0]]]"#, "'cell' is not an integer")]
#[case::status(r#"["inventory",0,[["a:1",0,0,0,null,1,0,0]]]"#, "'phase' is not a string")]
#[case::unknown_status(r#"["inventory",0,[["a:1",0,0,0,"odd",1,0,0]]]"#, "unknown phase 'odd'")]
#[case::started_at(r#"["inventory",0,[["a:1",0,0,0,"active",1,"0",0]]]"#, "'startedAt' is not a number")]
#[case::primary(r#"["inventory",0,[["a:1",0,0,0,"active",1,0,true]]]"#, "'isPrimary' is not a number")]
#[case::new_instance(r#"["openInstance","4",1,{"classes":[]}]"#, "'proxy' is not an integer")]
#[case::seed(r#"["openInstance",4,null,{"classes":[]}]"#, "'seed' is not a number")]
#[case::settings(r#"["openInstance",4,1,{}]"#, "in 'info': 'classes' is not an array")]
#[case::kill(r#"["kill",null]"#, "'proxy' is not an integer")]
#[case::instance(r#"["arrival"]"#, "'proxy' is not an integer")]
#[case::unknown_message(r#"["odd",3]"#, "unknown message 'odd'")]
#[case::unknown_message_without_instance(r#"["odd"]"#, "'proxy' is not an integer")]
#[case::update_kind(r#"["members",3,null,1,0]"#, "'kind' is not a string")]
#[case::unknown_update_kind(r#"["members",3,"ODD",1,0]"#, "unknown update kind 'ODD'")]
#[case::update_inventory(r#"["members",3,"FULL",1,"0"]"#, "'bank' is not an integer")]
#[case::unknown_inventory(r#"["members",3,"FULL",1,9]"#, "unknown inventory 9")]
#[case::request(r#"["arrival",3,1,0.9,0,null,0,0,null,0,0]"#, "'corr' is not a string")]
#[case::timeout(r#"["arrival",3,"t/x",null,0,null,0,0,null,0,0]"#, "'expiresIn' is not a number")]
#[case::token_age(r#"["arrival",3,"t/x",0.9,"0",null,0,0,null,0,0]"#, "'tokenAgeMs' is not a number")]
#[case::tenant(r#"["arrival",3,"t/x",0.9,0,null,"0",0,null,0,0]"#, "'realm' is not an integer")]
#[case::options(r#"["arrival",3,"t/x",0.9,0,null,0,"0",null,0,0]"#, "'opts' is not an integer")]
#[case::class(r#"["arrival",3,"t/x",0.9,0,null,0,0,null,"0",0]"#, "'tierClass' is not an integer")]
#[case::group(r#"["arrival",3,"t/x",0.9,0,null,0,0,null,0,"0"]"#, "'clusterNo' is not an integer")]
#[case::result_request(r#"["done",3,1,0,"a:1",false,0.1,0,1,null]"#, "'corr' is not a string")]
#[case::position(r#"["done",3,"t/x","0","a:1",false,0.1,0,1,null]"#, "'posRole' is not an integer")]
#[case::result_endpoint(r#"["done",3,"t/x",0,1,false,0.1,0,1,null]"#, "'member' is not a string")]
#[case::elapsed(r#"["done",3,"t/x",0,"a:1",false,"0",0,1,null]"#, "'costTime' is not a number")]
#[case::attempt(r#"["done",3,"t/x",0,"a:1",false,0.1,"0",1,null]"#, "'sendNo' is not an integer")]
#[case::outcome(r#"["done",3,"t/x",0,"a:1",false,0.1,0,"1",null]"#, "'result' is not an integer")]
#[case::unknown_outcome(r#"["done",3,"t/x",0,"a:1",false,0.1,0,9,null]"#, "unknown outcome 9")]
#[case::health_check_endpoint(r#"["echo",3,1,1,0.1,null]"#, "'member' is not a string")]
#[case::health_check_outcome(r#"["echo",3,"a:1","1",0.1,null]"#, "'result' is not an integer")]
#[case::response_started(r#"["accepted",3,1]"#, "'corr' is not a string")]
#[case::client_disconnected(r#"["cancelledByClient",3,1]"#, "'corr' is not a string")]
#[case::timer(r#"["timeoutFired",3,"0"]"#, "'cookie' is not an integer")]
fn a_malformed_field_is_reported_with_its_name_on_the_wire(#[case] line: &str, #[case] error: &str) {
    assert_eq!(error_for_line(line), error);
}

#[test]
fn every_status_update_kind_and_outcome_of_the_wire_is_accepted() {
    for status in ["active", "leaving", "left"] {
        assert_eq!(error_for_line(&format!(r#"["inventory",0,[["a:1",0,0,0,"{status}",1,0,0]]]"#)), "");
    }
    for kind in ["INCREMENTAL", "FULL", "SAVED", "FAILED"] {
        assert_eq!(error_for_line(&format!(r#"["members",3,"{kind}",1,0]"#)), "");
    }
    for outcome in 0..=8 {
        assert_eq!(error_for_line(&format!(r#"["done",3,"t/x",0,"a:1",false,0.1,0,{outcome},null]"#)), "");
    }
}

/// Returns the setup with settings that allow the policy to take every kind of action.
fn setup_for_all_actions() -> String {
    let limits = r#""limits":{"probes":true,"cancel":true,"maxAttempts":3},"#;
    let settings = format!(r#""registryMode":"subscribe","fleetSize":500,{limits}"specifics""#);
    setup().replace(r#""specifics""#, &settings)
}

/// Asserts that the reply has a line that starts with `prefix`. The rest of the line has values that the
/// policy chooses.
fn assert_has_line(transcript: &str, prefix: &str) {
    let output = run(transcript);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let reply = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(reply.lines().any(|line| line.starts_with(prefix)), "{prefix}: {reply}");
}

/// Guards against changes to the names and the order of fields that the adapter sends.
#[test]
fn every_action_is_written_with_its_name_on_the_wire() {
    let setup = setup_for_all_actions().replace("read_like", "none");
    let other_class = REQUEST.replace("t/x", "t/y").replace("null,0,0]", "null,7,0]");
    let failed = r#"["done",3,"t/x",0,"b:1",false,0.01,0,0,null]"#;
    let other_request = REQUEST.replace("t/x", "t/z");
    let not_connected = r#"["done",3,"t/z",0,"b:1",false,0.01,0,4,null]"#;
    let timer = "[\"turn\",1.3]\n[\"timeoutFired\",3,0]";
    let transcript = format!(
        "{setup}{REQUEST}{other_class}{failed}\n{other_request}{not_connected}\n{timer}\n{END_OF_BATCH}"
    );
    for prefix in [
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
        assert_has_line(&transcript, prefix);
    }
}

#[test]
fn a_cancelled_attempt_is_written_with_its_name_on_the_wire() {
    let mut transcript = setup_for_all_actions();
    // The policy learns that responses arrive within 10 ms.
    for number in 0..60 {
        transcript += &REQUEST.replace("t/x", &format!("r/{number}"));
        transcript += &format!("[\"done\",3,\"r/{number}\",0,\"b:1\",true,0.01,0,1,null]\n");
    }
    transcript += "[\"turn\",1.01]\n";
    transcript += REQUEST;
    transcript += "[\"turn\",1.3]\n[\"timeoutFired\",3,0]\n";
    transcript += END_OF_BATCH;
    assert_has_line(&transcript, r#"["cancel",3,"t/x",0]"#);
}
