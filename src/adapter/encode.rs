//! Encodes the actions of the policy as lines for the simulator.

use std::io::{self, Write};

use pg_pooler::interface::Action;
use pg_pooler::time::Span;
use serde_json::{json, Value};

use crate::decode::InstanceId;

/// Writes one line for each action, and the line that ends the reply.
pub fn write_reply(
    actions: impl IntoIterator<Item = (InstanceId, Action)>,
    output: &mut impl Write,
) -> io::Result<()> {
    for (instance, action) in actions {
        writeln!(output, "{}", encode_action(instance, &action))?;
    }
    writeln!(output, "{}", json!(["finished"]))
}

fn encode_action(instance: InstanceId, action: &Action) -> Value {
    match action {
        Action::Send { id, endpoint, timeout } => {
            json!(["forward", instance, **id, **endpoint, timeout.as_secs()])
        }
        Action::CancelAttempt { id, attempt } => json!(["cancel", instance, **id, attempt]),
        Action::Reject { id, retry_after } => {
            json!(["decline", instance, **id, retry_after.map_or(0.0, Span::as_secs)])
        }
        Action::Fail { id } => json!(["fail", instance, **id]),
        Action::SetTimer { at, cookie } => json!(["remind", instance, at.as_secs(), cookie]),
        Action::HealthCheck { endpoint } => json!(["touch", instance, **endpoint]),
        Action::CloseIdleConnections { endpoint } => json!(["letGo", instance, **endpoint]),
        Action::Watch => json!(["listen", instance, true]),
        Action::Log(text) => json!(["journalLine", instance, text.to_string()]),
    }
}
