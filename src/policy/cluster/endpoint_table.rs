//! The endpoints of the endpoint list as last notified, and the groups that they form.

use std::collections::{BTreeMap, HashMap};
use std::ops::{Index, IndexMut};

use crate::interface::{Endpoint, EndpointId, EndpointStatus, UpdateKind};
use crate::policy::cluster::Group;
use crate::policy::endpoint::{EndpointState, Restart};
use crate::time::LocalInstant;

/// The place of an endpoint in the [`EndpointTable`]. Places of forgotten endpoints are used again.
pub(crate) type EndpointKey = usize;

/// The endpoints that an update of the endpoint list has started.
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
    free: Vec<EndpointKey>,
    by_id: HashMap<EndpointId, EndpointKey>,
}

impl EndpointTable {
    /// How many slots there are, those of forgotten endpoints included: every key is below this.
    pub(crate) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The key of a known endpoint.
    pub(crate) fn key(&self, id: &EndpointId) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// The numbers of all groups, in ascending order.
    pub(crate) fn group_ids(&self) -> Vec<u32> {
        self.groups.keys().copied().collect()
    }

    /// How many groups there are.
    pub(crate) fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// A group, if one of this number is known.
    pub(crate) fn group(&self, group: u32) -> Option<&Group> {
        self.groups.get(&group)
    }

    /// A group, to be changed.
    pub(crate) fn group_mut(&mut self, group: u32) -> Option<&mut Group> {
        self.groups.get_mut(&group)
    }

    /// The primary of a group, if one is known.
    pub(crate) fn primary(&self, group: u32) -> Option<EndpointKey> {
        self.group(group)?.primary()
    }

    /// Forgets groups without endpoints and requests: lists may name new ones again and again.
    pub(crate) fn remove_empty_groups(&mut self) {
        self.groups.retain(|_, group| !group.is_empty());
    }

    /// Applies an update of the endpoint list. What a complete list does not name is removed. Returns the
    /// endpoints that were added or have restarted.
    pub(crate) fn apply(
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
            let restart = self.slots[endpoint].apply(kind, entry, now);
            if known.is_none() {
                started.added.push(endpoint);
            } else if restart == Restart::Restarted {
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
        let key = self.free.pop().unwrap_or(self.slots.len());
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

    /// Forgets those endpoints of a group that were removed, and neither listed nor used since this time.
    pub(crate) fn purge_removed(&mut self, group: u32, horizon: LocalInstant) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let (slots, free, by_id) = (&self.slots, &mut self.free, &mut self.by_id);
        group.retain_members(|&endpoint| {
            let is_forgotten = slots[endpoint].is_removed_since(horizon);
            if is_forgotten {
                by_id.remove(slots[endpoint].id());
                free.push(endpoint);
            }
            !is_forgotten
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
