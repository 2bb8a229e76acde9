//! Table of requests in progress: those with a waiting client or an attempt in flight.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use crate::interface::RequestId;
use crate::net::messages::{AttemptTask, Statement};
use crate::net::reactor::ConnectionId;
use crate::net::request_ids::IdClaim;

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightAttempt {
    /// Attempt number within the request, starting at 0.
    number: usize,
    /// Connection used by the attempt; `None` if none could be opened.
    connection: Option<ConnectionId>,
}

/// A request in progress.
#[derive(Debug)]
struct ActiveRequest {
    /// Client waiting for the final response; `None` once it was answered or has disconnected.
    client: Option<ConnectionId>,
    statement: Rc<Statement>,
    /// Keeps other requests from using the ID.
    id_claim: Option<IdClaim>,
    /// Number of attempts started.
    attempts: usize,
    /// Attempts whose results are not handled yet; more than one for a hedged request.
    in_flight: Vec<InFlightAttempt>,
}

impl ActiveRequest {
    /// Returns the connections of the attempts in flight.
    fn connections(&self) -> Vec<ConnectionId> {
        self.in_flight.iter().filter_map(|attempt| attempt.connection).collect()
    }
}

/// A request whose client has disconnected or cancelled it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct AbandonedRequest {
    /// The request.
    pub id: RequestId,
    /// Connections of its attempts in flight.
    pub connections: Vec<ConnectionId>,
}

/// Whether a client still waits for the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// The client waits for the response.
    Waiting,
    /// The client was answered or has disconnected.
    NotWaiting,
}

/// All requests in progress, indexed by ID and by waiting client. A request stays in the table until its
/// client was answered or has disconnected and no attempt is in flight.
#[derive(Debug, Default)]
pub(super) struct ActiveRequests {
    requests: HashMap<RequestId, ActiveRequest>,
    /// The request that each client waits for.
    by_client: HashMap<ConnectionId, RequestId>,
}

impl ActiveRequests {
    /// Adds a request that `client` waits for.
    pub fn insert(
        &mut self,
        id: RequestId,
        client: ConnectionId,
        statement: Statement,
        id_claim: Option<IdClaim>,
    ) {
        let request = ActiveRequest {
            client: Some(client),
            statement: Rc::new(statement),
            id_claim,
            attempts: 0,
            in_flight: Vec::new(),
        };
        self.requests.insert(id.clone(), request);
        self.by_client.insert(client, id);
    }

    /// Creates the next attempt of a request. Returns `None` if the request is not in progress.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<AttemptTask> {
        let request = self.requests.get_mut(&id)?;
        let number = request.attempts;
        request.attempts += 1;
        Some(AttemptTask { request: id, number, statement: request.statement.clone() })
    }

    /// Records that an attempt was sent. `connection` is `None` if no connection could be opened.
    pub fn record_attempt_sent(&mut self, id: &str, number: usize, connection: Option<ConnectionId>) {
        if let Some(request) = self.requests.get_mut(id) {
            request.in_flight.push(InFlightAttempt { number, connection });
        }
    }

    /// Returns the connection of an attempt in flight.
    pub fn connection_of_attempt(&self, id: &str, number: usize) -> Option<ConnectionId> {
        let mut in_flight = self.requests.get(id)?.in_flight.iter();
        in_flight.find(|attempt| attempt.number == number)?.connection
    }

    /// Returns the connections of a request's attempts in flight.
    pub fn connections(&self, id: &str) -> Vec<ConnectionId> {
        self.requests.get(id).map(ActiveRequest::connections).unwrap_or_default()
    }

    /// Records that an attempt has ended, and returns the state of the client. Returns `None` if the request
    /// is not in progress.
    pub fn record_attempt_finished(&mut self, id: &str, number: usize) -> Option<ClientState> {
        let request = self.requests.get_mut(id)?;
        request.in_flight.retain(|attempt| attempt.number != number);
        Some(if request.client.is_some() { ClientState::Waiting } else { ClientState::NotWaiting })
    }

    /// Records that a client no longer waits, and returns the request that it waited for, if any. The request
    /// stays in the table until [`remove_if_finished`](Self::remove_if_finished).
    pub fn abandon(&mut self, client: ConnectionId) -> Option<AbandonedRequest> {
        let id = self.by_client.remove(&client)?;
        let request = self.requests.get_mut(&id)?;
        request.client = None;
        let connections = request.connections();
        Some(AbandonedRequest { id, connections })
    }

    /// Keeps the ID of a request in use for a while after its end if an attempt may still run.
    pub fn retain_id(&mut self, id: &str, now: Instant) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.attempts > 0) else { return };
        if let Some(claim) = &mut request.id_claim {
            claim.retain(now);
        }
    }

    /// Returns the request that a client waits for, if any.
    pub fn request_of(&self, client: ConnectionId) -> Option<RequestId> {
        self.by_client.get(&client).cloned()
    }

    /// Takes the client that waits for the final response, if any. The caller must send the response.
    pub fn take_client(&mut self, id: &str) -> Option<ConnectionId> {
        let client = self.requests.get_mut(id)?.client.take()?;
        self.by_client.remove(&client);
        Some(client)
    }

    /// Removes a request if no client waits for it and no attempt is in flight.
    pub fn remove_if_finished(&mut self, id: &str) {
        let finished = |request: &ActiveRequest| request.client.is_none() && request.in_flight.is_empty();
        if self.requests.get(id).is_some_and(finished) {
            self.requests.remove(id);
        }
    }
}

#[cfg(test)]
mod tests;
