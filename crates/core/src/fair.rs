//! Weighted fair queue of requests by organisation, with priority classes and deadlines.
//!
//! The requests of an organisation get finish tags in virtual time, spaced by the inverse of its
//! weight. Late payment reduces the weight, but never to zero. The request with the lowest tag in
//! the highest class is served first. When the queue is full, it sheds the newest request of the
//! organisation with the longest backlog relative to its weight, from the lowest class first.

use {
    crate::{bundle::Account, id::Organisation},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        time::Instant,
    },
};

/// Virtual time that one request takes at a weight of 1.
const REQUEST_COST: u64 = 1 << 32;
/// Effective weight of an organisation that the bundle does not contain, in hundredths.
const UNKNOWN_WEIGHT: u64 = 50;

/// Priority class of a request; higher classes are served first and shed last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Requests that may be executed more than once.
    Repeatable,
    /// Requests with side effects, which must not be executed twice.
    SideEffect,
}

/// Effective weight of an account in hundredths, with its payment standing applied. Greater than 0.
pub fn effective_weight(account: Option<&Account>) -> u64 {
    let Some(account) = account else {
        return UNKNOWN_WEIGHT;
    };
    u64::from(account.weight) * u64::from(account.standing.weight_percent())
}

#[derive(Debug)]
struct Item<T> {
    /// Virtual time at which the request finishes.
    finish_tag: u64,
    deadline: Instant,
    value: T,
}

/// Queued requests of one organisation.
#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    /// Finish tag of the last request queued.
    last_finish_tag: u64,
    items: VecDeque<Item<T>>,
}

/// Queued requests of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    /// Finish tag of the last request served.
    virtual_time: u64,
    flows: BTreeMap<Organisation, Flow<T>>,
}

/// Reason why a queued request is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The deadline has passed.
    Expired,
    /// The queue was full.
    Shed,
}

/// Weighted fair queue of requests.
#[derive(Debug)]
pub struct Queue<T> {
    class_queues: BTreeMap<Reverse<Class>, ClassQueue<T>>,
    capacity: usize,
    len: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            class_queues: BTreeMap::new(),
            capacity,
            len: 0,
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request. Returns the request that is shed if the queue exceeds its capacity, which
    /// may be the new one. `weight` is in hundredths and must not be 0.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: u64,
        class: Class,
        deadline: Instant,
        value: T,
    ) -> Option<T> {
        assert!(weight > 0, "the weight must not be 0");
        let class_queue = self
            .class_queues
            .entry(Reverse(class))
            .or_insert_with(|| ClassQueue {
                virtual_time: 0,
                flows: BTreeMap::new(),
            });
        let virtual_time = class_queue.virtual_time;
        let flow = class_queue
            .flows
            .entry(organisation.into())
            .or_insert_with(|| Flow {
                weight,
                last_finish_tag: virtual_time,
                items: VecDeque::new(),
            });
        flow.weight = weight;
        flow.last_finish_tag = flow.last_finish_tag.max(virtual_time) + REQUEST_COST / weight;
        flow.items.push_back(Item {
            finish_tag: flow.last_finish_tag,
            deadline,
            value,
        });
        self.len += 1;
        if self.len > self.capacity {
            return self.shed();
        }
        None
    }

    /// Removes and returns the next request. Requests past their deadline are moved to `expired`.
    pub fn pop(&mut self, now: Instant, expired: &mut Vec<T>) -> Option<T> {
        for class_queue in self.class_queues.values_mut() {
            while let Some(item) = class_queue.pop() {
                self.len -= 1;
                if item.deadline > now {
                    return Some(item.value);
                }
                expired.push(item.value);
            }
        }
        assert_eq!(self.len, 0, "the length of an empty queue must be 0");
        None
    }

    /// Removes and returns all requests past their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        for class_queue in self.class_queues.values_mut() {
            for flow in class_queue.flows.values_mut() {
                let items = std::mem::take(&mut flow.items);
                for item in items {
                    if item.deadline <= now {
                        expired.push(item.value);
                    } else {
                        flow.items.push_back(item);
                    }
                }
            }
            class_queue.remove_idle_flows();
        }
        self.len -= expired.len();
        expired
    }

    /// Removes the newest request of the organisation with the longest backlog relative to its
    /// weight, from the lowest class that has requests.
    fn shed(&mut self) -> Option<T> {
        let class_queue = self
            .class_queues
            .values_mut()
            .rev()
            .find(|class_queue| !class_queue.flows.is_empty())?;
        let longest = class_queue
            .flows
            .iter()
            .max_by_key(|(_, flow)| flow.items.len() as u64 * REQUEST_COST / flow.weight)
            .map(|(name, _)| name.clone())?;
        let flow = class_queue.flows.get_mut(&longest)?;
        let item = flow.items.pop_back()?;
        flow.last_finish_tag -= REQUEST_COST / flow.weight;
        class_queue.remove_idle_flows();
        self.len -= 1;
        Some(item.value)
    }
}

impl<T> ClassQueue<T> {
    fn pop(&mut self) -> Option<Item<T>> {
        let first_finish_tag = |flow: &Flow<T>| flow.items.front().map(|item| item.finish_tag);
        let name = self
            .flows
            .iter()
            .filter_map(|(name, flow)| Some((first_finish_tag(flow)?, name)))
            .min()
            .map(|(_, name)| name.clone())?;
        let item = self.flows.get_mut(&name)?.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(item.finish_tag);
        self.remove_idle_flows();
        Some(item)
    }

    /// Removes organisations without queued requests whose last finish tag has passed.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.items.is_empty() || flow.last_finish_tag > virtual_time);
    }
}
