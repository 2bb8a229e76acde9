//! The instances of the policy that this process runs. Nothing is decided in the adapter.

use std::collections::BTreeMap;
use std::io::Write;

use pg_pooler::interface::{Action, Endpoint, Event};
use pg_pooler::time::LocalInstant;
use pg_pooler::Policy;

use crate::wire::{
    decode_line, write_reply, BaseTime, InstanceId, InstanceLine, InstanceMessage, InventoryId, Message,
    NewInstance, WireError,
};

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
    /// The time to which the log positions in its messages are relative.
    base_time: BaseTime,
}

/// Runs the instances, and collects their actions until the batch is complete.
#[derive(Default)]
pub struct Instances {
    /// The time of the last turn.
    now: LocalInstant,
    /// The endpoint lists to which updates refer.
    inventories: BTreeMap<InventoryId, Vec<Endpoint>>,
    instances: BTreeMap<InstanceId, Instance>,
    /// The actions of the batch so far, in the order in which they were taken.
    pending_actions: Vec<(InstanceId, Action)>,
}

impl Instances {
    /// Handles one line. Writes the reply where the line ends a batch.
    ///
    /// Fails where the line is malformed, refers to an unknown inventory or has settings out of their
    /// range, and where the reply cannot be written. The instances cannot go on then.
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
            Message::KillInstance { instance } => self.kill_instance(instance),
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
        let instance = self.instances.get(&line.instance);
        let base_time = instance.map(|instance| instance.base_time).unwrap_or_default();
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
            InstanceMessage::EndpointsFromInventory { kind, inventory } => {
                let endpoints = self.inventories.get(&inventory);
                let endpoints = endpoints.cloned().ok_or(WireError::UnknownInventory(inventory))?;
                Ok(Event::EndpointsUpdated { kind, endpoints })
            }
        }
    }
}
