//! The endpoints of the endpoint list, including recently removed ones, and the groups that they form.

use std::collections::{BTreeMap, HashMap};
use std::ops::{Index, IndexMut};

use crate::interface::{Endpoint, EndpointId, EndpointStatus, UpdateKind};
use crate::policy::cluster::Group;
use crate::policy::endpoint::{EndpointState, Restart};
use crate::time::LocalInstant;

/// Index of an endpoint in the [`EndpointTable`]. The keys of purged endpoints are reused.
pub(crate) type EndpointKey = usize;

/// The endpoints that have started according to an update of the endpoint list.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct StartedEndpoints {
    /// Endpoints that were not known before.
    pub(crate) added: Vec<EndpointKey>,
    /// Known endpoints that have restarted.
    pub(crate) restarted: Vec<EndpointKey>,
}

/// Endpoints by key and by identifier, and their groups.
#[derive(Default)]
pub(crate) struct EndpointTable {
    groups: BTreeMap<u32, Group>,
    slots: Vec<EndpointState>,
    free_slots: Vec<EndpointKey>,
    by_id: HashMap<EndpointId, EndpointKey>,
}

impl EndpointTable {
    /// Returns the number of slots, including those of purged endpoints. Every key is below it.
    pub(crate) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the key of an endpoint, if it is known.
    pub(crate) fn key(&self, id: &EndpointId) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the numbers of all groups in ascending order.
    pub(crate) fn group_ids(&self) -> Vec<u32> {
        self.groups.keys().copied().collect()
    }

    pub(crate) fn group_count(&self) -> usize {
        self.groups.len()
    }

    pub(crate) fn group(&self, group: u32) -> Option<&Group> {
        self.groups.get(&group)
    }

    pub(crate) fn group_mut(&mut self, group: u32) -> Option<&mut Group> {
        self.groups.get_mut(&group)
    }

    /// Returns the primary of a group, if it is known.
    pub(crate) fn primary(&self, group: u32) -> Option<EndpointKey> {
        self.group(group)?.primary()
    }

    /// Removes groups with neither endpoints nor queued requests. Such groups would accumulate if lists kept
    /// naming new ones.
    pub(crate) fn remove_empty_groups(&mut self) {
        self.groups.retain(|_, group| !group.is_empty());
    }

    /// Applies an update of the endpoint list. Endpoints that a complete list does not contain are marked as
    /// removed. Returns the endpoints that were added or have restarted.
    pub(crate) fn apply_update(
        &mut self,
        kind: UpdateKind,
        entries: &[Endpoint],
        now: LocalInstant,
    ) -> StartedEndpoints {
        let is_complete = kind != UpdateKind::Delta;
        let mut listed = vec![!is_complete; self.slots.len()];
        let mut started = StartedEndpoints::default();
        for entry in entries {
            let known = self.key(&entry.id);
            if entry.status == EndpointStatus::Removed && known.is_none() {
                continue;
            }
            let endpoint = known.unwrap_or_else(|| self.insert(entry));
            if let Some(listed) = listed.get_mut(endpoint) {
                *listed = true;
            }
            self.move_to_group(endpoint, entry.group);
            let restart = self.slots[endpoint].apply_list_entry(kind, entry, now);
            if known.is_none() {
                started.added.push(endpoint);
            } else if restart == Restart::Detected {
                started.restarted.push(endpoint);
            }
        }
        for (endpoint, _) in listed.iter().enumerate().filter(|(_, listed)| !**listed) {
            self.slots[endpoint].listing_mut().mark_removed();
        }
        for endpoint in
            self.slots.iter_mut().filter(|slot| slot.listing().status() != EndpointStatus::Removed)
        {
            endpoint.listing_mut().mark_listed(now);
        }
        started
    }

    fn insert(&mut self, entry: &Endpoint) -> EndpointKey {
        let key = self.free_slots.pop().unwrap_or(self.slots.len());
        let state = EndpointState::new(entry.id.clone(), entry.zone, entry.group);
        self.by_id.insert(entry.id.clone(), key);
        if key == self.slots.len() {
            self.slots.push(state);
        } else {
            self.slots[key] = state;
        }
        self.groups.entry(entry.group).or_default().add_member(key);
        key
    }

    fn move_to_group(&mut self, endpoint: EndpointKey, group: u32) {
        let old_group = self.slots[endpoint].listing_mut().move_to_group(group);
        if old_group != group {
            self.groups.entry(old_group).or_default().retain_members(|&other| other != endpoint);
            self.groups.entry(group).or_default().add_member(endpoint);
        }
    }

    /// Purges those endpoints of a group that were removed from the list, and last listed and used before
    /// `horizon`.
    pub(crate) fn purge_removed(&mut self, group: u32, horizon: LocalInstant) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let (slots, free_slots, by_id) = (&self.slots, &mut self.free_slots, &mut self.by_id);
        group.retain_members(|&endpoint| {
            let is_purged = slots[endpoint].may_be_purged(horizon);
            if is_purged {
                by_id.remove(slots[endpoint].id());
                free_slots.push(endpoint);
            }
            !is_purged
        });
    }
}

impl Index<EndpointKey> for EndpointTable {
    type Output = EndpointState;

    fn index(&self, key: EndpointKey) -> &EndpointState {
        &self.slots[key]
    }
}

impl IndexMut<EndpointKey> for EndpointTable {
    fn index_mut(&mut self, key: EndpointKey) -> &mut EndpointState {
        &mut self.slots[key]
    }
}

#[cfg(test)]
mod tests;
