//! The instances of the policy that this process hosts. Nothing is decided here.

use std::collections::BTreeMap;
use std::io::Write;

use pg_pooler::interface::{Action, Endpoint, Event, UpdateKind};
use pg_pooler::time::LocalInstant;
use pg_pooler::Policy;

use crate::decode::{
    decode_line, InstanceId, InstanceLine, InstanceMessage, InventoryId, Message, NewInstance,
};
use crate::encode::write_reply;
use crate::error::WireError;

/// Whether the simulator waits for what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStatus {
    /// More lines of the batch follow.
    Open,
    /// The batch is complete and its reply is written.
    Replied,
}

/// An instance of the policy.
struct Instance {
    policy: Policy,
    /// The time to which log positions on the wire are relative (Unix seconds).
    base_time: f64,
}

/// Runs the instances, and collects their actions until the batch is complete.
#[derive(Default)]
pub struct Host {
    now: LocalInstant,
    inventories: BTreeMap<InventoryId, Vec<Endpoint>>,
    instances: BTreeMap<InstanceId, Instance>,
    pending_actions: Vec<(InstanceId, Action)>,
}

impl Host {
    /// Handles one line. Writes the reply where the line ends a batch.
    pub fn handle_line(&mut self, line: &[u8], output: &mut impl Write) -> Result<BatchStatus, WireError> {
        match decode_line(line)? {
            Message::Turn { now } => self.now = now,
            Message::EndOfBatch => {
                write_reply(self.pending_actions.drain(..), output).map_err(WireError::Write)?;
                return Ok(BatchStatus::Replied);
            }
            Message::Inventory { id, endpoints } => {
                self.inventories.insert(id, endpoints);
            }
            Message::OpenInstance(new_instance) => self.open_instance(*new_instance)?,
            Message::Kill { instance } => self.kill_instance(instance),
            Message::Ignored => {}
            Message::Instance(line) => self.handle_instance_line(&line)?,
        }
        Ok(BatchStatus::Open)
    }

    fn open_instance(&mut self, new_instance: NewInstance) -> Result<(), WireError> {
        let NewInstance { id, seed, settings, base_time } = new_instance;
        let policy = Policy::new(settings, seed)?;
        self.instances.insert(id, Instance { policy, base_time });
        Ok(())
    }

    /// Removes an instance, and those of its actions that were not written yet.
    fn kill_instance(&mut self, id: InstanceId) {
        self.instances.remove(&id);
        self.pending_actions.retain(|(instance, _)| *instance != id);
    }

    /// Passes an event to its instance. A line for an unknown instance is checked and has no effect.
    fn handle_instance_line(&mut self, line: &InstanceLine) -> Result<(), WireError> {
        let base_time = self.instances.get(&line.instance).map_or(0.0, |instance| instance.base_time);
        let event = self.resolve(line.decode(base_time)?)?;
        let Some(instance) = self.instances.get_mut(&line.instance) else { return Ok(()) };
        let mut actions = Vec::new();
        instance.policy.handle(self.now, event, &mut actions);
        self.pending_actions.extend(actions.into_iter().map(|action| (line.instance, action)));
        Ok(())
    }

    /// Replaces a reference to an inventory by its endpoints.
    fn resolve(&self, message: InstanceMessage) -> Result<Event, WireError> {
        match message {
            InstanceMessage::Event(event) => Ok(event),
            InstanceMessage::EndpointsFromInventory { kind: kind @ UpdateKind::WatchFailed, .. } => {
                Ok(Event::Endpoints { kind, endpoints: Vec::new() })
            }
            InstanceMessage::EndpointsFromInventory { kind, inventory } => {
                let endpoints = self.inventories.get(&inventory);
                let endpoints = endpoints.cloned().ok_or(WireError::UnknownInventory(inventory))?;
                Ok(Event::Endpoints { kind, endpoints })
            }
        }
    }
}
