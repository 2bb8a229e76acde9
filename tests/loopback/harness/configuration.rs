//! The configuration with which the tests start the pooler.

use std::net::SocketAddr;

use super::EndpointList;

/// Settings with four request classes. The latency objectives and deadlines are long, so that a slow machine
/// does not change the result of a test. So is the drain grace, so that calls for the endpoint list are rarely
/// repeated.
const SETTINGS: &str = r#"{"classes":[
{"name":"browse","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"own-orders","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"reports","aim":8,"deadline":9,"effect":"read_like","value":1},
{"name":"order-write","aim":8,"deadline":9,"effect":"idempotency_key","group":"cell","dedupWindow":2,"value":1}],
"customers":[{"name":"acme","quotaPerS":1000}],"zones":["here","there"],"zone":0,"fleetSize":1,"tick":0.005,
"registryMode":"subscribe","invariants":{"askWithin":10,"drainGrace":20,"coldFrom":0.2,"warmUp":1,"tipMultiple":3,"fall":1},
"limits":{"cancel":true,"connectTimeout":1,"keepalive":15,"maxAttempts":6,"maxRetryAfter":0.5,"probes":false,"retryAfter":true},
"specifics":{"consistency":["bounded","session","any","write"],"stalenessBound":[3,0,0,0],"whenBehind":"silent","writeMarks":"remembered"}}"#;

/// A text replacement in the configuration file.
#[derive(Clone, Copy)]
pub struct Edit<'a> {
    /// The text to replace. Must occur in the configuration file.
    pub from: &'a str,
    /// The replacement.
    pub to: &'a str,
}

impl Edit<'_> {
    /// Replaces all occurrences in `text`, of which there must be at least one.
    pub fn apply(&self, text: &str) -> String {
        assert!(text.contains(self.from), "the configuration does not contain {}", self.from);
        text.replace(self.from, self.to)
    }
}

/// Returns the text of the configuration file. `known` is the endpoint list with which the pooler starts.
pub fn configuration(known: &EndpointList, discovery: SocketAddr, edits: &[Edit]) -> String {
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    );
    edits.iter().fold(text, |text, edit| edit.apply(&text))
}
