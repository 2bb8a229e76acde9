//! Routing: reads go to replicas that are fresh enough, writes to the primary.

use std::time::Duration;

use rstest::rstest;

use crate::harness::*;

/// Guards against ignoring the session token that clients carry with this setting: the log position that
/// reads of their session require. The read was then sent to any replica.
#[rstest]
#[case::replayed_by_the_replica(-1000, true)]
#[case::not_replayed_by_the_replica(1, false)]
fn a_read_that_carries_a_session_token_goes_to_a_host_that_has_replayed_it(
    #[case] offset_ms: i64,
    #[case] replica_is_fresh_enough: bool,
) {
    let replica = DatabaseHost::new();
    let primary = DatabaseHost::new();
    let discovery = DiscoveryService::new();
    let primary_entry = primary.entry("s-2", "there").with_access("writer");
    let known = EndpointList::snapshot(41, [replica.entry("s-1", "here"), primary_entry]);
    let carried_tokens = Edit { from: r#""writeMarks":"remembered""#, to: r#""writeMarks":"carried""# };
    let pooler = Pooler::start(&known, &discovery, &[carried_tokens]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("0", "reports").message());
    let mut replica_connection = replica.accept();
    replica_connection.receive_query();
    let position = unix_time().as_millis() as i64 - 60_000;
    replica_connection.send(&result_response_with_position(BINARY_VALUE, Role::Reader, position));
    client.receive_response();

    let required = position + offset_ms;
    client.send(&Request::new("1", "own-orders").after(required).message());
    let mut backend = if replica_is_fresh_enough { replica_connection } else { primary.accept() };
    assert!(backend.receive_query().contains(&format!("cluster=2,after={required}")));
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
}

/// If any part of a load report is invalid, the rest may be wrong too, so the pooler ignores all of it.
#[test]
fn only_a_valid_load_report_shows_that_a_replica_is_fresh_enough() {
    let host = DatabaseHost::new();
    let (pooler, _discovery, _primary) = start_with_known_clock(&host, &[HEALTH_CHECKS]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "browse").message());
    let mut backend = host.accept();
    for rest in ["x1=0,queue=\u{fffd}", "x1=0x", "}{", "x1=0,queue=0,inflight=1"] {
        assert_eq!(backend.receive_query(), "SHOW usage");
        // Each report has a current position, since all four together may take longer than the staleness
        // bound of the class.
        let position = unix_time().as_secs_f64() - 0.5;
        backend.send_result(format!("x0={position:.3},{rest}").as_bytes(), Role::Reader);
    }
    // The read stays queued until a replica is known to be fresh enough.
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Reader);
    client.expect_result();
    pooler.expect_counters(" unreadable_reports=3 ");
}

/// Guards against searching for the primary by health checks if load reports do not contain the role of a
/// host. A health check cannot find it then.
#[rstest]
#[case::no_load_reports(r#"{"how":"silent","fields":[]}"#)]
#[case::load_reports_without_role(r#"{"how":"pull","fields":["inflight","util"]}"#)]
fn a_write_finds_the_primary_where_health_checks_cannot(#[case] load_information: &str) {
    let host = DatabaseHost::new();
    let tick_and_load_information = format!(r#""tick":0.005,"loadInfo":{load_information}"#);
    let load_reports = Edit { from: r#""tick":0.005"#, to: &tick_and_load_information };
    let (pooler, _discovery) = start_with_one_host(&host, &[HEALTH_CHECKS, load_reports]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "order-write").message());
    let mut backend = host.accept();
    backend.expect_request("1");
    backend.send_result(BINARY_VALUE, Role::Writer);
    client.expect_result();
    pooler.expect_counters(" health_checks_sent=0 ");
}

#[rstest]
#[case::first_host("s-1")]
#[case::second_host("s-2")]
fn a_write_goes_directly_to_the_primary_of_the_endpoint_list(#[case] primary: &str) {
    let first = DatabaseHost::new();
    let second = DatabaseHost::new();
    let discovery = DiscoveryService::new();
    let entry = |host: &DatabaseHost, name: &str| {
        let access = if name == primary { "writer" } else { "reader" };
        host.entry(name, "here").with_access(access)
    };
    let known = EndpointList::snapshot(41, [entry(&first, "s-1"), entry(&second, "s-2")]);
    let pooler = Pooler::start(&known, &discovery, &[]);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "order-write").message());
    let mut backend = if primary == "s-1" { first.accept() } else { second.accept() };
    backend.receive_query();
    backend.send_result(BINARY_VALUE, Role::Writer);
    client.expect_result();
    pooler.expect_counters("attempts_sent=1 success=1");
}

/// Guards against sending a strong read to a host that has told, while the connection for the read came up,
/// that it is a replica. It was answered from old data where hosts do not check.
#[test]
fn a_strong_read_whose_connection_comes_up_after_a_failover_goes_to_the_new_primary() {
    let old_primary = DatabaseHost::new();
    let new_primary = DatabaseHost::new();
    let discovery = DiscoveryService::new();
    let old_entry = old_primary.entry("s-1", "here").with_access("writer");
    let known = EndpointList::snapshot(41, [old_entry, new_primary.entry("s-2", "here")]);
    let strong =
        Edit { from: r#"["bounded","session","any","write"]"#, to: r#"["fresh","session","any","write"]"# };
    let patient = Edit { from: r#""connectTimeout":1"#, to: r#""connectTimeout":8"# };
    let pooler = Pooler::start(&known, &discovery, &[strong, patient]);
    let mut writer = connect_client(&pooler);
    writer.send(&Request::new("w", "order-write").message());
    let mut write_connection = old_primary.accept();
    write_connection.receive_query();
    let mut reader = connect_client(&pooler);
    reader.send(&Request::new("r", "browse").message());
    let mut late_connection = old_primary.accept_unanswered_startup();
    new_primary.answer_queries(b"new", Role::Writer, Duration::ZERO);
    let not_the_primary = error_response("25006");
    let role = parameter_status("server_role", "reader");
    write_connection.send(&[role, not_the_primary].concat());
    pooler.wait_for_log("primary is now s-2");
    late_connection.complete_startup();
    std::thread::spawn(move || {
        while late_connection.receive_statement().is_some() {
            late_connection.send_result(b"old", Role::Reader);
        }
    });
    reader.expect_value(b"new");
    writer.expect_value(b"new");
    pooler.expect_counters(" not_sent=1 ");
}
