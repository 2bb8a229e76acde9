//! The requests that a client or an attempt still waits for.

use std::collections::HashMap;
use std::rc::Rc;

use crate::interface::RequestId;
use crate::net::messages::{AttemptTask, Statement};
use crate::net::reactor::ConnectionId;

/// An attempt that was sent and has not ended yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightAttempt {
    /// The number of the attempt among those of its request, from 0.
    number: usize,
    /// The connection that it runs on; none where no connection could be opened for it.
    connection: Option<ConnectionId>,
}

/// A request that was passed to the policy.
#[derive(Debug)]
struct ActiveRequest {
    /// The client that waits for the final answer; none once it has the answer or has disconnected.
    client: Option<ConnectionId>,
    statement: Rc<Statement>,
    /// How many attempts were started.
    attempts: usize,
    /// The attempts whose ends are not handled yet: more than one where requests are hedged.
    in_flight: Vec<InFlightAttempt>,
}

impl ActiveRequest {
    /// The connections that its attempts in flight run on.
    fn connections(&self) -> Vec<ConnectionId> {
        self.in_flight.iter().filter_map(|attempt| attempt.connection).collect()
    }
}

/// A request whose client has disconnected or cancelled it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct AbandonedRequest {
    /// The request.
    pub id: RequestId,
    /// The connections that its attempts in flight run on.
    pub connections: Vec<ConnectionId>,
}

/// Whether a client still waits for the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The client waits for its answer.
    Waiting,
    /// The client has its answer or has disconnected.
    NotWaiting,
}

/// All requests in progress, by their identifier and by the client that waits for them. A request stays until
/// its client has its answer or has disconnected, and no attempt of it is in flight.
#[derive(Debug, Default)]
pub(super) struct ActiveRequests {
    requests: HashMap<RequestId, ActiveRequest>,
    /// The request that each busy client waits for.
    by_client: HashMap<ConnectionId, RequestId>,
}

impl ActiveRequests {
    /// Whether a request of this identifier is in progress.
    pub fn contains(&self, id: &str) -> bool {
        self.requests.contains_key(id)
    }

    /// Adds a request that `client` waits for.
    pub fn insert(&mut self, id: RequestId, client: ConnectionId, statement: Statement) {
        let request = ActiveRequest {
            client: Some(client),
            statement: Rc::new(statement),
            attempts: 0,
            in_flight: Vec::new(),
        };
        self.requests.insert(id.clone(), request);
        self.by_client.insert(client, id);
    }

    /// Numbers the next attempt of a request; none where the request is not in progress.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<AttemptTask> {
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts;
        request.attempts += 1;
        Some(AttemptTask { request: id, number, statement: request.statement.clone() })
    }

    /// Records that an attempt was sent, and on which connection.
    pub fn attempt_sent(&mut self, id: &str, number: usize, connection: Option<ConnectionId>) {
        if let Some(request) = self.requests.get_mut(id) {
            request.in_flight.push(InFlightAttempt { number, connection });
        }
    }

    /// The connection that an attempt runs on, if that attempt is in flight.
    pub fn connection_of_attempt(&self, id: &str, number: usize) -> Option<ConnectionId> {
        let mut in_flight = self.requests.get(id)?.in_flight.iter();
        in_flight.find(|attempt| attempt.number == number)?.connection
    }

    /// The connections that the attempts of a request run on which are in flight.
    pub fn connections(&self, id: &str) -> Vec<ConnectionId> {
        self.requests.get(id).map(ActiveRequest::connections).unwrap_or_default()
    }

    /// Records that an attempt has ended; none where the request is not in progress.
    pub fn attempt_finished(&mut self, id: &str, number: usize) -> Option<ClientState> {
        let request = self.requests.get_mut(id)?;
        request.in_flight.retain(|attempt| attempt.number != number);
        Some(if request.client.is_some() { ClientState::Waiting } else { ClientState::NotWaiting })
    }

    /// Records that a client no longer waits; none where it waits for no request. The request stays in the
    /// table until [`remove_if_finished`](Self::remove_if_finished).
    pub fn abandon(&mut self, client: ConnectionId) -> Option<AbandonedRequest> {
        let id = self.by_client.remove(&client)?;
        let request = self.requests.get_mut(&id)?;
        request.client = None;
        let connections = request.connections();
        Some(AbandonedRequest { id, connections })
    }

    /// The request that a client waits for, if any.
    pub fn request_of(&self, client: ConnectionId) -> Option<RequestId> {
        self.by_client.get(&client).cloned()
    }

    /// Takes the client that waits for the final answer, which is to be sent now; none where no client does.
    pub fn take_client(&mut self, id: &str) -> Option<ConnectionId> {
        let client = self.requests.get_mut(id)?.client.take()?;
        self.by_client.remove(&client);
        Some(client)
    }

    /// Removes a request that neither a client nor an attempt waits for.
    pub fn remove_if_finished(&mut self, id: &str) {
        let finished = |request: &ActiveRequest| request.client.is_none() && request.in_flight.is_empty();
        if self.requests.get(id).is_some_and(finished) {
            self.requests.remove(id);
        }
    }
}

#[cfg(test)]
mod tests;
