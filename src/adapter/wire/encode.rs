//! Encoding of policy actions as lines for the simulator.

use std::io::{self, Write};

use pg_pooler::interface::Action;
use pg_pooler::time::Span;
use serde_json::{json, Value};

use super::names::reply;
use super::InstanceId;

/// Writes one line for each action, and the line that ends the reply. Fails if the output cannot be written.
pub fn write_reply(
    actions: impl IntoIterator<Item = (InstanceId, Action)>,
    output: &mut impl Write,
) -> io::Result<()> {
    for (instance, action) in actions {
        writeln!(output, "{}", encode_action(instance, &action))?;
    }
    writeln!(output, "{}", json!([reply::END]))
}

fn encode_action(instance: InstanceId, action: &Action) -> Value {
    match action {
        Action::Send { id, endpoint, timeout } => {
            json!([reply::SEND, instance, **id, **endpoint, timeout.as_secs()])
        }
        Action::CancelAttempt { id, attempt } => json!([reply::CANCEL_ATTEMPT, instance, **id, attempt]),
        Action::Reject { id, retry_after, .. } => {
            let seconds = retry_after.map_or(0.0, Span::as_secs);
            json!([reply::REJECT, instance, **id, seconds])
        }
        Action::Fail { id, .. } => json!([reply::FAIL, instance, **id]),
        Action::SetTimer { at, cookie } => json!([reply::SET_TIMER, instance, at.as_secs(), cookie]),
        Action::HealthCheck { endpoint } => json!([reply::HEALTH_CHECK, instance, **endpoint]),
        Action::CloseIdleConnections { endpoint } => {
            json!([reply::CLOSE_IDLE_CONNECTIONS, instance, **endpoint])
        }
        Action::Watch => json!([reply::WATCH, instance, true]),
        Action::Log(text) => json!([reply::LOG, instance, text.to_string()]),
    }
}
