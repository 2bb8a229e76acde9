//! The log lines by which an engineer follows one request: attempts, rejections and closed connections, each
//! with its reason.

use crate::harness::*;

#[test]
fn retries_rejections_and_closed_connections_are_logged_with_their_reasons() {
    let near = DatabaseHost::new();
    let far = DatabaseHost::new();
    let (pooler, _discovery) = start_with_two_hosts(&near, &far);
    let mut client = connect_client(&pooler);
    client.send(&Request::new("1", "reports").message());
    for host in [&near, &far] {
        let mut backend = host.accept();
        backend.expect_request("1");
        backend.send(&error_response("53300"));
    }
    client.expect_error("53300");
    client.close();
    let attempt = pooler.wait_for_log("attempt ended");
    assert!(attempt.contains("request=1 attempt=0 endpoint=s-1 outcome=Overloaded"), "{attempt}");
    let retry = pooler.wait_for_log("request sent again");
    assert!(retry.contains("request=1 attempt=1 endpoint=s-2"), "{retry}");
    let rejection = pooler.wait_for_log("request rejected");
    assert!(rejection.contains("request=1 reason=no usable endpoint"), "{rejection}");
    let closed = pooler.wait_for_log("client connection closed");
    assert!(closed.contains("reason=disconnected by the client"), "{closed}");
}

#[test]
fn the_calls_for_the_endpoint_list_and_its_versions_are_logged() {
    let host = DatabaseHost::new();
    let (pooler, discovery) = start_with_one_host(&host, &[]);
    let _idle = complete_read(&host, &mut connect_client(&pooler));
    let call = pooler.wait_for_log("endpoint list requested");
    assert!(call.contains("since=41"), "{call}");
    let mut watch = discovery.accept();
    watch.send_list(&EndpointList::update(42, [host.entry("s-1", "here").with_status("DRAINING")]));
    let answered = pooler.wait_for_log("endpoint watch answered");
    let number = call.split_whitespace().find(|field| field.starts_with("watch=")).unwrap();
    assert!(answered.ends_with(number) || answered.contains(&format!("{number} ")), "{answered}");
    let list = pooler.wait_for_log("endpoint list received");
    assert!(list.contains("version=42 snapshot=false entries=1"), "{list}");
    assert!(list.contains(r#"("s-1", Draining)"#), "{list}");
    let closed = pooler.wait_for_log("endpoint connection closed");
    assert!(closed.contains("endpoint=s-1") && closed.contains("reason=endpoint changed"), "{closed}");
    drop(watch);
    let closed = pooler.wait_for_log("endpoint watch closed");
    assert!(closed.contains(number) && closed.contains("response ended"), "{closed}");
}
