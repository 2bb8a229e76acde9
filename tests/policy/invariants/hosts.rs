//! Simulated endpoints, and the endpoint list that discovery sends.

use std::sync::Arc;

use pg_pooler::interface::{Endpoint, EndpointStatus, Event, Outcome, Role, UpdateKind};
use pg_pooler::settings::{Consistency, RequestClass};
use pg_pooler::time::ClusterInstant;

pub const GROUPS: u32 = 2;
const ENDPOINTS_PER_GROUP: u32 = 4;
const ZONES: u32 = 2;
/// Lag in seconds above which an endpoint that rejects stale reads rejects session reads.
const MAX_SESSION_LAG: f64 = 1.0;

/// Determines the outcome of the attempts that are sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    Healthy,
    /// Refuses connections.
    Down,
    /// Accepts requests and never answers.
    Hanging,
    Overloaded,
    /// Sometimes reports an error, resets the connection or does not answer.
    Faulty,
}

/// The actual state of an endpoint, which the policy learns only from responses and the endpoint list.
pub struct Host {
    pub entry: Endpoint,
    pub is_primary: bool,
    pub condition: Condition,
    /// The log position that it has applied.
    pub applied_position: f64,
}

impl Host {
    /// Returns the outcome of an attempt that is sent now.
    pub fn outcome(
        &self,
        now: f64,
        class: &RequestClass,
        rejects_stale_reads: bool,
        random: &mut fastrand::Rng,
    ) -> Outcome {
        match self.condition {
            Condition::Down => Outcome::ConnectFailed,
            Condition::Hanging => Outcome::Timeout,
            Condition::Overloaded => Outcome::Overloaded,
            Condition::Faulty if random.bool() => {
                [Outcome::Error, Outcome::ConnectionReset, Outcome::Timeout][random.usize(..3)]
            }
            Condition::Healthy | Condition::Faulty => match random.u32(..50) {
                0 => Outcome::InvalidRequest,
                1 => Outcome::NotSent,
                2 => Outcome::ConnectionReset,
                _ if class.needs_primary() && !self.is_primary => Outcome::Ineligible,
                _ if rejects_stale_reads && self.is_stale(now, class.consistency) => Outcome::Ineligible,
                _ => Outcome::Success,
            },
        }
    }

    /// Returns the outcome of a health check that is sent now.
    pub fn health_check_outcome(&self) -> Outcome {
        match self.condition {
            Condition::Down => Outcome::ConnectFailed,
            Condition::Overloaded => Outcome::Overloaded,
            Condition::Healthy | Condition::Hanging | Condition::Faulty => Outcome::Success,
        }
    }

    fn is_stale(&self, now: f64, consistency: Consistency) -> bool {
        match consistency {
            Consistency::BoundedStaleness(bound) => self.applied_position < now - bound.as_secs(),
            Consistency::Session => self.applied_position < now - MAX_SESSION_LAG,
            Consistency::Write | Consistency::Strong | Consistency::Eventual => false,
        }
    }

    /// Returns the log position in a response: usually the actual one, sometimes none or an implausible one.
    pub fn reported_position(&self, now: f64, random: &mut fastrand::Rng) -> Option<f64> {
        match random.u32(..20) {
            0 => Some(now + 1e6),
            1 => Some(f64::NAN),
            2..=5 => None,
            _ => Some(self.applied_position).filter(|position| position.is_finite()),
        }
    }
}

/// The endpoints of all groups.
pub struct Hosts(Vec<Host>);

impl Hosts {
    /// Creates healthy endpoints; the first one of each group is its primary.
    pub fn new() -> Hosts {
        let host = |number: u32| {
            let group = number / ENDPOINTS_PER_GROUP;
            let is_primary = number.is_multiple_of(ENDPOINTS_PER_GROUP);
            let id = format!("endpoint-{number}").into();
            let entry = Endpoint {
                id,
                zone: number % ZONES,
                group,
                role: Role::primary_if(is_primary),
                ..Endpoint::default()
            };
            Host { entry, is_primary, condition: Condition::Healthy, applied_position: f64::NEG_INFINITY }
        };
        Hosts((0..GROUPS * ENDPOINTS_PER_GROUP).map(host).collect())
    }

    /// Returns the endpoint with the given identifier in its present state. A primary has applied all
    /// commits.
    pub fn get(&mut self, id: &Arc<str>, now: f64) -> &Host {
        let host = self.0.iter_mut().find(|host| host.entry.id == *id).expect("the endpoint exists");
        if host.is_primary {
            host.applied_position = now;
        }
        host
    }

    /// Returns the entries of a complete endpoint list.
    pub fn list_entries(&self) -> Vec<Endpoint> {
        let listed = self.0.iter().filter(|host| host.entry.status != EndpointStatus::Removed);
        listed.map(|host| host.entry.clone()).collect()
    }

    /// May advance the log position of a random replica, and sometimes changes the condition or the role of
    /// an endpoint.
    pub fn change_randomly(&mut self, now: f64, random: &mut fastrand::Rng) {
        let index = random.usize(..self.0.len());
        let host = &mut self.0[index];
        if !host.is_primary && random.u32(..3) > 0 {
            host.applied_position = host.applied_position.max(now - 0.7 * random.f64().powi(3));
        }
        match random.u32(..50) {
            0..=1 => {
                use Condition::{Down, Faulty, Hanging, Healthy, Overloaded};
                let conditions = [Healthy, Healthy, Healthy, Down, Hanging, Overloaded, Faulty];
                host.condition = conditions[random.usize(..conditions.len())];
            }
            2 => self.promote(index, now),
            _ => {}
        }
    }

    fn promote(&mut self, index: usize, now: f64) {
        self.0[index].applied_position = now;
        let group = self.0[index].entry.group;
        for (other, host) in self.0.iter_mut().enumerate().filter(|(_, host)| host.entry.group == group) {
            host.is_primary = other == index;
        }
    }

    /// May change the status, role, start or group of a random endpoint. Returns its entry or the complete
    /// list as an update, or a failure of the watch.
    pub fn random_list_update(&mut self, now: f64, random: &mut fastrand::Rng) -> Event {
        let kind = match random.u32(..10) {
            0 => None,
            1..=2 => Some(UpdateKind::Snapshot),
            _ => Some(UpdateKind::Delta),
        };
        let index = random.usize(..self.0.len());
        let host = &mut self.0[index];
        match random.u32(..16) {
            0..=1 => host.entry.status = EndpointStatus::Draining,
            2..=3 => host.entry.status = EndpointStatus::Removed,
            4..=5 => host.entry.started_at = Some(ClusterInstant::from_secs(now)),
            6 => {
                host.entry.group = random.u32(..GROUPS);
                host.is_primary = false;
            }
            7..=11 => host.entry.status = EndpointStatus::Serving,
            _ => {}
        }
        host.entry.role = Role::primary_if(host.is_primary);
        let Some(kind) = kind else { return Event::WatchFailed };
        let endpoints = match kind {
            UpdateKind::Delta => vec![host.entry.clone()],
            UpdateKind::Snapshot | UpdateKind::Cached => self.list_entries(),
        };
        Event::EndpointsUpdated { kind, endpoints }
    }
}
