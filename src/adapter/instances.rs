//! The policy instances that this process runs. The adapter itself makes no policy decisions.

use std::collections::BTreeMap;
use std::io::Write;

use pg_pooler::interface::{Action, Endpoint, Event};
use pg_pooler::time::LocalInstant;
use pg_pooler::Policy;

use crate::wire::{
    decode_line, write_reply, BaseTime, DecodedEvent, InstanceId, InstanceLine, InventoryId, Message,
    NewInstance, WireError,
};

/// Whether a batch is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStatus {
    /// More lines of the batch follow.
    Incomplete,
    /// The batch is complete and its reply has been written. The simulator waits for the reply.
    Replied,
}

/// A policy instance.
struct Instance {
    policy: Policy,
    /// The time to which the log positions in its messages are relative.
    base_time: BaseTime,
}

/// Runs the instances and collects their actions until the batch is complete.
#[derive(Default)]
pub struct Instances {
    /// The last time that was set, which applies to all following messages.
    now: LocalInstant,
    /// The inventories of endpoints that list updates refer to.
    inventories: BTreeMap<InventoryId, Vec<Endpoint>>,
    instances: BTreeMap<InstanceId, Instance>,
    /// The actions in the current batch, in the order in which they were taken.
    pending_actions: Vec<(InstanceId, Action)>,
}

impl Instances {
    /// Handles one line. Writes the reply if the line ends a batch.
    ///
    /// Fails if the line is malformed, refers to an unknown inventory or contains settings that are out of
    /// range, or if the reply cannot be written. The instances must not be used after an error.
    pub fn handle_line(&mut self, line: &[u8], output: &mut impl Write) -> Result<BatchStatus, WireError> {
        match decode_line(line)? {
            Message::SetTime { now } => self.now = now,
            Message::EndOfBatch => {
                write_reply(self.pending_actions.drain(..), output).map_err(WireError::Write)?;
                return Ok(BatchStatus::Replied);
            }
            Message::Inventory { id, endpoints } => {
                self.inventories.insert(id, endpoints);
            }
            Message::OpenInstance(new_instance) => self.open_instance(*new_instance)?,
            Message::CloseInstance { instance } => self.close_instance(instance),
            Message::Ignored => {}
            Message::Instance(line) => self.handle_instance_line(&line)?,
        }
        Ok(BatchStatus::Incomplete)
    }

    fn open_instance(&mut self, new_instance: NewInstance) -> Result<(), WireError> {
        let NewInstance { id, seed, settings, base_time } = new_instance;
        let policy = Policy::new(settings, seed)?;
        self.instances.insert(id, Instance { policy, base_time });
        Ok(())
    }

    /// Removes an instance and its pending actions.
    fn close_instance(&mut self, id: InstanceId) {
        self.instances.remove(&id);
        self.pending_actions.retain(|(instance, _)| *instance != id);
    }

    /// Passes an event to its instance. A line for an unknown instance is validated but has no effect.
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

    /// Replaces a reference to an inventory with its endpoints.
    fn resolve(&self, event: DecodedEvent) -> Result<Event, WireError> {
        match event {
            DecodedEvent::Complete(event) => Ok(event),
            DecodedEvent::EndpointsFromInventory { kind, inventory } => {
                let endpoints = self.inventories.get(&inventory);
                let endpoints = endpoints.cloned().ok_or(WireError::UnknownInventory(inventory))?;
                Ok(Event::EndpointsUpdated { kind, endpoints })
            }
        }
    }
}
