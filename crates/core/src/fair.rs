//! Queue by organisation: weighted fair queueing with priority classes and deadlines.
//!
//! Each organisation's requests get finish tags in virtual time, spaced by the inverse of its
//! weight; the lowest tag goes first within the highest class. A late payer's weight is smaller
//! but never zero. When the queue is full, the newest request of the organisation with the
//! longest backlog per weight is shed, lowest class first.

use {
    crate::{bundle::Account, id::Organisation},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
};

/// Cost of one request in virtual time at weight one.
const COST: u64 = 1 << 32;
/// Weight of an organisation that the bundle does not name.
const UNKNOWN_WEIGHT: u64 = 50;

/// Priority class of a request; higher goes first and is shed last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Work that may be repeated.
    Repeatable,
    /// Work that has an effect.
    SideEffect,
}

/// Effective weight of an account in hundredths.
pub fn effective_weight(account: Option<&Account>) -> u64 {
    let Some(account) = account else {
        return UNKNOWN_WEIGHT;
    };
    u64::from(account.weight) * u64::from(account.standing.weight_percent())
}

#[derive(Debug)]
struct Item<T> {
    finish: u64,
    deadline: Instant,
    value: T,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    /// Finish tag of the last request queued.
    last: u64,
    items: VecDeque<Item<T>>,
}

/// Queue of one class.
#[derive(Debug)]
struct Lane<T> {
    /// Virtual time: finish tag of the last request taken out.
    now: u64,
    flows: BTreeMap<Organisation, Flow<T>>,
}

/// Why a queued request leaves without being served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// Its deadline has passed.
    Expired,
    /// The queue is full.
    Shed,
}

/// Weighted fair queue.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: BTreeMap<Reverse<Class>, Lane<T>>,
    room: usize,
    len: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `room` requests.
    pub fn new(room: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            room,
            len: 0,
        }
    }

    /// Requests queued.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request and returns the one that was shed for it, if the queue was full.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: u64,
        class: Class,
        deadline: Instant,
        value: T,
    ) -> Option<T> {
        assert!(weight > 0, "every organisation has a weight");
        let lane = self.lanes.entry(Reverse(class)).or_insert_with(|| Lane {
            now: 0,
            flows: BTreeMap::new(),
        });
        let now = lane.now;
        let flow = lane
            .flows
            .entry(organisation.into())
            .or_insert_with(|| Flow {
                weight,
                last: now,
                items: VecDeque::new(),
            });
        flow.weight = weight;
        flow.last = flow.last.max(now) + COST / weight;
        flow.items.push_back(Item {
            finish: flow.last,
            deadline,
            value,
        });
        self.len += 1;
        if self.len > self.room {
            return self.shed();
        }
        None
    }

    /// Takes the next request; those past their deadline go to `late`.
    pub fn pop(&mut self, now: Instant, late: &mut Vec<T>) -> Option<T> {
        for lane in self.lanes.values_mut() {
            while let Some(item) = lane.pop() {
                self.len -= 1;
                if item.deadline > now {
                    return Some(item.value);
                }
                late.push(item.value);
            }
        }
        assert_eq!(self.len, 0, "an empty queue counts nothing");
        None
    }

    /// Removes all requests past their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let mut late = Vec::new();
        for lane in self.lanes.values_mut() {
            for flow in lane.flows.values_mut() {
                let items = std::mem::take(&mut flow.items);
                for item in items {
                    if item.deadline <= now {
                        late.push(item.value);
                    } else {
                        flow.items.push_back(item);
                    }
                }
            }
            lane.tidy();
        }
        self.len -= late.len();
        late
    }

    /// Removes the newest request of the longest backlog per weight, lowest class first.
    fn shed(&mut self) -> Option<T> {
        let lane = self
            .lanes
            .values_mut()
            .rev()
            .find(|lane| !lane.flows.is_empty())?;
        let longest = lane
            .flows
            .iter()
            .max_by_key(|(_, flow)| flow.items.len() as u64 * COST / flow.weight)
            .map(|(name, _)| name.clone())?;
        let flow = lane.flows.get_mut(&longest)?;
        let item = flow.items.pop_back()?;
        flow.last -= COST / flow.weight;
        lane.tidy();
        self.len -= 1;
        Some(item.value)
    }
}

impl<T> Lane<T> {
    fn pop(&mut self) -> Option<Item<T>> {
        let first = |flow: &Flow<T>| flow.items.front().map(|item| item.finish);
        let name = self
            .flows
            .iter()
            .filter_map(|(name, flow)| Some((first(flow)?, name)))
            .min()
            .map(|(_, name)| name.clone())?;
        let item = self.flows.get_mut(&name)?.items.pop_front()?;
        self.now = self.now.max(item.finish);
        self.tidy();
        Some(item)
    }

    /// Forgets organisations without requests whose tags lie in the past.
    fn tidy(&mut self) {
        let now = self.now;
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || flow.last > now);
    }
}
