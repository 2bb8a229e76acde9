//! Translates client queries into requests for the policy, and handles disconnects and cancel requests.

use std::time::Instant;

use super::Pooler;
use crate::config::Config;
use crate::interface::{self, Request, RequestId};
use crate::net::messages::InvalidQuery;
use crate::net::reactor::{span_of, ConnectionId, Reactor};
use crate::net::{CancelKey, Context, Query, Response};
use crate::settings::{Consistency, Idempotency};
use crate::time::Span;

/// The properties of a request class that the pooler needs.
struct QueryClass {
    name: String,
    consistency: Consistency,
    idempotency: Idempotency,
}

/// Resolves class and tenant names in queries to the indices that the policy uses.
pub(super) struct QueryTranslator {
    /// Classes, in the order of the settings.
    classes: Vec<QueryClass>,
    /// Tenant names, in the order of the settings.
    tenants: Vec<String>,
}

impl QueryTranslator {
    /// Creates a translator for the classes and tenants of a configuration.
    pub fn new(config: &Config) -> QueryTranslator {
        let class = |(name, class): (&String, &crate::settings::RequestClass)| QueryClass {
            name: name.clone(),
            consistency: class.consistency,
            idempotency: class.idempotency,
        };
        let classes = config.classes.iter().zip(&config.settings.classes).map(class).collect();
        QueryTranslator { classes, tenants: config.tenants.clone() }
    }

    /// Returns the index of the query's class. Fails if the class is unknown or does not allow the query.
    fn class_index(&self, query: &Query) -> Result<usize, InvalidQuery> {
        let index = self.classes.iter().position(|class| class.name == query.class);
        let index = index.ok_or(InvalidQuery::UnknownClass)?;
        let needs_key = self.classes[index].idempotency == Idempotency::IdempotencyKey;
        if needs_key && !query.has_idempotency_key {
            return Err(InvalidQuery::MissingIdempotencyKey);
        }
        Ok(index)
    }

    /// Returns the index of a tenant. Tenants that the settings do not name share the index after the last.
    fn tenant_index(&self, name: &str) -> usize {
        self.tenants.iter().position(|known| known == name).unwrap_or(self.tenants.len())
    }

    /// Returns `true` if requests of a class depend on their session.
    fn uses_sessions(&self, class: usize) -> bool {
        matches!(self.classes[class].consistency, Consistency::Write | Consistency::Session)
    }

    /// Builds the request that is passed to the policy.
    fn build_request(
        &self,
        id: RequestId,
        class: usize,
        query: &Query,
        received_at: Instant,
        reactor: &Reactor,
    ) -> Request {
        let now = reactor.now();
        let waited = now.saturating_duration_since(received_at);
        let session = query.session_key.as_deref().filter(|_| self.uses_sessions(class));
        Request {
            id,
            class,
            group: query.group,
            // The query may have waited behind others on its connection since it was received.
            timeout: span_of(query.timeout) - span_of(waited),
            // Assumes that both clocks agree: the policy converts the age back in the same way.
            session_token_age: query
                .session_token
                .map(|committed_at| reactor.policy_time(now) - committed_at.to_local_instant(Span::ZERO)),
            session: session.map(Into::into),
            tenant: self.tenant_index(&query.tenant),
            predicted_work: None,
        }
    }
}

impl Pooler {
    /// Passes a client query to the policy, or responds with an error if the query is invalid.
    pub(super) fn on_query(
        &mut self,
        client: ConnectionId,
        query: Query,
        received_at: Instant,
        context: &mut Context,
    ) {
        let class = match self.validate(&query) {
            Ok(class) => class,
            Err(reason) => {
                tracing::info!(request = %query.id, %reason, "query invalid");
                return self.frontend.respond(client, Response::Invalid(reason), context);
            }
        };
        context.counters.requests_received += 1;
        let id = RequestId::from(query.id.as_str());
        let request =
            self.query_translator.build_request(id.clone(), class, &query, received_at, &context.reactor);
        self.requests.insert(id, client, query.statement, query.id_claim);
        self.notify_policy(interface::Event::Request(request), context);
    }

    /// Checks a query and returns the index of its class.
    fn validate(&self, query: &Query) -> Result<usize, InvalidQuery> {
        let class = self.query_translator.class_index(query)?;
        // Requests with the same ID could not be told apart, and an endpoint would see a duplicate.
        if query.id_claim.is_none() {
            return Err(InvalidQuery::DuplicateId);
        }
        Ok(class)
    }

    /// Abandons the request of a client that has disconnected or cancelled it: notifies the policy, then
    /// cancels the attempts in flight.
    pub(super) fn abandon_request(&mut self, client: ConnectionId, context: &mut Context) {
        let Some(request) = self.requests.abandon(client) else { return };
        context.counters.client_disconnects += 1;
        tracing::info!(request = %request.id, "request abandoned by its client");
        self.requests.retain_id(&request.id, context.reactor.now());
        self.notify_policy(interface::Event::ClientDisconnected { id: request.id.clone() }, context);
        for connection in request.connections {
            self.backend.cancel(connection, context);
        }
        self.requests.remove_if_finished(&request.id);
    }

    /// Cancels the query of the client with this key. The policy handles it like a disconnect.
    pub(super) fn on_cancel_request(&mut self, key: CancelKey, context: &mut Context) {
        if let Some(client) = self.frontend.find_by_cancel_key(key) {
            self.abandon_request(client, context);
            self.frontend.respond(client, Response::Cancelled, context);
        }
    }
}
