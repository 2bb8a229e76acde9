//! The endpoints of the endpoint list as last notified, and the groups that they form.

use std::collections::{BTreeMap, HashMap};
use std::ops::{Index, IndexMut};

use super::{EndpointState, Group, RequestKey, RequestTable};
use crate::interface::{Endpoint, EndpointId, EndpointStatus, UpdateKind};
use crate::time::LocalInstant;

/// The place of an endpoint in the [`EndpointTable`]. Places of forgotten endpoints are used again.
pub(crate) type EndpointKey = usize;

/// Endpoints by key and by identifier, and their groups.
#[derive(Default)]
pub(crate) struct EndpointTable {
    pub groups: BTreeMap<u32, Group>,
    slots: Vec<EndpointState>,
    free: Vec<EndpointKey>,
    by_id: HashMap<EndpointId, EndpointKey>,
}

impl EndpointTable {
    /// How many slots there are, those of forgotten endpoints included: every key is below this.
    pub fn slots(&self) -> usize {
        self.slots.len()
    }

    /// The key of a known endpoint.
    pub fn key(&self, id: &EndpointId) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// The identifiers of all groups, in ascending order.
    pub fn group_ids(&self) -> Vec<u32> {
        self.groups.keys().copied().collect()
    }

    /// The primary of a group, if one is known.
    pub fn primary(&self, group: u32) -> Option<EndpointKey> {
        self.groups.get(&group)?.primary
    }

    /// Appends a request to the queue of its group, unless it is there.
    pub fn queue(&mut self, key: RequestKey, requests: &mut RequestTable) {
        let Some(request) = requests.get_mut(key) else { return };
        let Some(group) = self.groups.get_mut(&request.group) else { return };
        if !std::mem::replace(&mut request.queued, true) {
            group.queued.push_back(key);
        }
    }

    /// Forgets groups without endpoints and requests: lists may name new ones for ever.
    pub fn forget_empty_groups(&mut self) {
        self.groups.retain(|_, group| !group.endpoints.is_empty() || !group.queued.is_empty());
    }

    /// Applies an update of the endpoint list. What a whole list does not name is removed.
    pub fn apply(&mut self, kind: UpdateKind, entries: &[Endpoint], now: LocalInstant) {
        let is_whole_list = kind != UpdateKind::Delta;
        let mut listed = vec![!is_whole_list; self.slots.len()];
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
            self.slots[endpoint].apply(kind, entry, now);
        }
        for (endpoint, _) in listed.iter().enumerate().filter(|(_, listed)| !**listed) {
            self.slots[endpoint].status = EndpointStatus::Removed;
        }
        for endpoint in self.slots.iter_mut().filter(|e| e.status != EndpointStatus::Removed) {
            endpoint.last_listed_at = now;
        }
    }

    fn insert(&mut self, entry: &Endpoint) -> EndpointKey {
        let key = self.free.pop().unwrap_or(self.slots.len());
        let state = EndpointState::new(entry.id.clone(), entry.zone, entry.group);
        self.by_id.insert(state.id.clone(), key);
        if key == self.slots.len() {
            self.slots.push(state);
        } else {
            self.slots[key] = state;
        }
        self.groups.entry(entry.group).or_default().endpoints.push(key);
        key
    }

    fn move_to_group(&mut self, endpoint: EndpointKey, group: u32) {
        let old_group = std::mem::replace(&mut self.slots[endpoint].group, group);
        if old_group != group {
            self.groups.entry(old_group).or_default().endpoints.retain(|&other| other != endpoint);
            self.groups.entry(group).or_default().endpoints.push(endpoint);
        }
    }

    /// Forgets those endpoints of a group that were removed, and neither listed nor used since this time.
    pub fn forget_removed(&mut self, group: u32, horizon: LocalInstant) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let (slots, free, by_id) = (&self.slots, &mut self.free, &mut self.by_id);
        group.endpoints.retain(|&endpoint| {
            let is_kept = !slots[endpoint].is_removed_since(horizon);
            if !is_kept {
                by_id.remove(&slots[endpoint].id);
                free.push(endpoint);
            }
            is_kept
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
