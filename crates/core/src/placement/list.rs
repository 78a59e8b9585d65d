//! The list of engines: which process an id stands for.
//!
//! The order of the list's records tells which process of an id is the later one. The times at which
//! processes started do not: the clock of a host may be set back between two starts.

use {
    super::{Entry, Table},
    crate::{
        engine::{Engine, Listing},
        id::{Engine as Id, Started},
        quarantine::Instance,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which processes that are no longer listed are remembered, so that an older copy of the
/// list does not bring them back.
const FORMER_RETENTION: Duration = Duration::from_secs(120);

/// A process that is no longer listed: another one of its id is, or none.
#[derive(Debug, Clone, Copy)]
struct Former {
    since: Instant,
    /// Time at which it was last known to be leaving.
    left_at: Option<Instant>,
}

/// A listing in an older copy of the list, of a process that was no longer listed.
struct Doubt {
    listing: Listing,
    /// Time from which the process is listed again, unless a record about its id is written before.
    until: Instant,
}

/// What the list has said earlier.
#[derive(Default)]
pub(super) struct History {
    former: BTreeMap<(Id, Started), Former>,
    doubts: BTreeMap<Id, Doubt>,
}

impl Table {
    /// Adds or updates an engine by a record that was written after all earlier ones about its id;
    /// returns true if it is a new process.
    pub fn add_listing(&mut self, listing: Listing, now: Instant) -> bool {
        self.history.doubts.remove(&listing.id);
        self.list(listing, now)
    }

    /// Adds or updates an engine by a record of an older copy of the list; returns whether it is a new
    /// process, or `None` if the process was no longer listed. It then stays so until
    /// `doubted_until`: if it still runs, its record may not be written again, and if it does not, the
    /// record is removed by then.
    pub fn add_copied_listing(
        &mut self,
        listing: Listing,
        doubted_until: Instant,
        now: Instant,
    ) -> Option<bool> {
        if !self.is_former(&listing.id, listing.started_ms) {
            return Some(self.add_listing(listing, now));
        }
        let doubt = Doubt {
            until: doubted_until,
            listing,
        };
        self.history.doubts.insert(doubt.listing.id.clone(), doubt);
        None
    }

    fn list(&mut self, listing: Listing, now: Instant) -> bool {
        let (id, address) = (listing.id.clone(), listing.address);
        self.last_listing += 1;
        let listing_number = self.last_listing;
        if let Some(entry) = self.entries.get_mut(&id) {
            let known = &entry.engine.listing;
            if known.started_ms == listing.started_ms && known.address == address {
                entry.expires_at = None;
                entry.listing_number = listing_number;
                entry.engine.update_listing(listing, now);
                self.map_address(address);
                return false;
            }
        }
        self.remove(&id, now);
        let former = self
            .history
            .former
            .remove(&(id.clone(), listing.started_ms));
        // Without a start, another process under the id cannot be told from the earlier one.
        let former = former.filter(|_| listing.started_ms.is_some());
        self.last_generation += 1;
        let since = listing.position;
        let mut engine = Engine::new(listing, now);
        if let Some(left_at) = former.and_then(|former| former.left_at) {
            engine.leaving.infer(left_at);
        }
        let entry = Entry {
            engine,
            generation: self.last_generation,
            since,
            listing_number,
            expires_at: None,
        };
        self.entries.insert(id, entry);
        self.map_address(address);
        true
    }

    /// Maps an address to the process there that was listed last. An earlier one may stay listed for a
    /// while after its end.
    fn map_address(&mut self, address: SocketAddr) {
        let at_address = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.engine.listing.address == address);
        let latest = at_address.max_by_key(|(_, entry)| entry.listing_number);
        match latest.map(|(id, _)| id.clone()) {
            Some(id) => self.by_address.insert(address, id),
            None => self.by_address.remove(&address),
        };
    }

    /// Removes an engine that is no longer listed, at once or, after an outage of the store, at
    /// `expires_at` unless it is listed again. Returns whether the engine was known.
    pub fn remove_listing(&mut self, id: &str, expires_at: Option<Instant>, now: Instant) -> bool {
        self.history.doubts.remove(id);
        let Some(expires_at) = expires_at else {
            return self.remove(id, now);
        };
        match self.entries.get_mut(id) {
            Some(entry) => {
                entry.expires_at.get_or_insert(expires_at);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, id: &str, now: Instant) -> bool {
        let Some((id, entry)) = self.entries.remove_entry(id) else {
            return false;
        };
        let listing = &entry.engine.listing;
        let listed_at = listing.draining.then_some(now);
        let former = Former {
            since: now,
            left_at: entry.engine.leaving.known_at().max(listed_at),
        };
        self.history.former.insert((id, listing.started_ms), former);
        self.map_address(listing.address);
        true
    }

    /// Whether a process was listed a short time ago, and its id now stands for another one or for
    /// none.
    pub fn is_former(&self, id: &str, started_ms: Started) -> bool {
        self.history.former.contains_key(&(id.into(), started_ms))
    }

    /// Whether another process is listed at the address of one that is no longer listed. That one has
    /// ended.
    pub fn is_replaced(&self, instance: &Instance) -> bool {
        let at_address = self.by_address.get(&instance.address);
        let Some(entry) = at_address.and_then(|id| self.entries.get(id)) else {
            return false;
        };
        if entry.instance().engine == instance.engine && instance.listed_at.is_some() {
            return entry.instance() != *instance;
        }
        self.is_former(&instance.engine, instance.started)
    }

    /// Removes engines whose listing expired, and returns their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Id> {
        let expired_id = |(id, entry): (&Id, &Entry)| {
            entry
                .expires_at
                .is_some_and(|expires_at| now >= expires_at)
                .then(|| id.clone())
        };
        let expired: Vec<Id> = self.entries.iter().filter_map(expired_id).collect();
        for id in &expired {
            self.remove(id, now);
        }
        let former = &mut self.history.former;
        former.retain(|_, f| now.saturating_duration_since(f.since) < FORMER_RETENTION);
        expired
    }

    /// Lists the processes whose doubted listings no record has refuted in time, and returns their
    /// ids.
    pub fn list_doubted(&mut self, now: Instant) -> Vec<Id> {
        let is_due = |(id, doubt): (&Id, &Doubt)| (now >= doubt.until).then(|| id.clone());
        let due: Vec<Id> = self.history.doubts.iter().filter_map(is_due).collect();
        for id in &due {
            if let Some(doubt) = self.history.doubts.remove(id) {
                self.list(doubt.listing, now);
            }
        }
        due
    }
}
