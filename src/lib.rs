//! pg-pooler is a connection pooler for replicated databases. It routes each read and write to a suitable
//! endpoint. [`cli`] runs the program; the network code behind it is private.
//!
//! [`Policy`] takes every decision, and [`interface`] defines its events and actions. The host program of a
//! policy passes events to it and carries out the actions that it returns. [`settings`] defines the settings
//! of a policy, [`config`] decodes them from JSON, and [`time`] defines the time types.
//! `docs/architecture.md` describes the modules and how they handle a request.
//!
//! ```
//! use pg_pooler::interface::{Action, Endpoint, EndpointStatus, Event, Role, UpdateKind};
//! use pg_pooler::settings::Settings;
//! use pg_pooler::time::{LocalInstant, Span};
//! use pg_pooler::Policy;
//!
//! let mut policy = Policy::new(Settings::default(), 7).expect("the defaults are in range");
//! let mut actions = Vec::new();
//! let id = "10.0.0.1:9000".into();
//! let (status, role) = (EndpointStatus::Serving, Role::Primary);
//! let endpoint = Endpoint { id, status, role, ..Endpoint::default() };
//! let start = LocalInstant::from_secs(100.0);
//! let list = Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: vec![endpoint] };
//! policy.handle(start, list, &mut actions);
//! let request = Event::request("r1", 0, 0, Span::from_secs(1.0));
//! policy.handle(start + Span::from_secs(0.1), request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```

pub mod cli;
pub mod config;
mod counters;
mod endpoint_list;
pub mod interface;
mod json;
mod load_report;
mod logging;
mod net;
mod policy;
pub mod settings;
pub mod time;
mod transient_error;

pub use policy::Policy;
pub use settings::SettingsError;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
