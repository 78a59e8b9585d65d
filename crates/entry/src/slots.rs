//! Backend servers, requests that wait for one, and attempts in flight.
//!
//! A request waits in its service's fair queue until a backend server has headroom; it then gets
//! a slot there, which it holds until its attempt ends.

use {
    jayspread_core::{
        config::State,
        fair::{Class, Queue},
        id::{DataCentre, Host, Incarnation, Organisation, Service, Version},
        rollout::{Gate, Status, gate},
        route::{self, Candidate, InFlight, Policy},
    },
    jayspread_net::clock,
    jayspread_schema::wire::{Load, Phase},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Time that requests wait for any usable backend server to appear.
const NO_BACKEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Weight of a new sample of an attempt's duration, as a divisor.
const DURATION_SMOOTHING: u32 = 16;

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// Its deadline has passed or cannot be met.
    Deadline,
    /// The queue is full.
    QueueFull,
    /// No backend server is usable.
    NoBackend,
}

/// A backend server as its agent's heartbeats show it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Load and state.
    pub load: Load,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// Attempts of this entry host in flight when the load was reported.
    in_flight_at_report: u32,
    /// Whether it is heard from and not leaving.
    pub alive: bool,
    /// Whether the platform lists it as leaving.
    pub listed_leaving: bool,
}

impl Backend {
    /// Whether it serves a complete version, or is a plain service that needs none.
    fn is_serving(&self) -> bool {
        match self.load.phase() {
            Phase::Serving => true,
            Phase::Ready | Phase::Fetching => !self.load.serving.is_empty(),
            _ => false,
        }
    }

    fn is_usable(&self, out: &BTreeSet<DataCentre>) -> bool {
        self.alive && !self.listed_leaving && self.is_serving() && !out.contains(&self.data_centre)
    }

    fn status(&self) -> Status {
        Status {
            alive: self.alive,
            phase: self.load.phase(),
            serving: self.load.serving.as_str().into(),
            wanted: self.load.wanted.as_str().into(),
        }
    }
}

/// What a request needs of its slot.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Service.
    pub service: Service,
    /// Organisation.
    pub organisation: Organisation,
    /// Weight of the organisation.
    pub weight: u64,
    /// Priority class.
    pub class: Class,
    /// Deadline.
    pub deadline: Instant,
    /// Prompt prefix, for affinity.
    pub prefix: Option<Box<[u8]>>,
    /// Hosts that refused earlier attempts.
    pub excluded: BTreeSet<Host>,
    /// Version that a resumed stream must come from.
    pub version: Option<Version>,
}

struct Waiter {
    need: Requirements,
    grant: oneshot::Sender<Result<(Host, Incarnation), Rejection>>,
}

struct Inner {
    queues: BTreeMap<Service, Queue<Waiter>>,
    backends: BTreeMap<Host, Backend>,
    in_flight: InFlight,
    drained: BTreeSet<DataCentre>,
    gates: BTreeMap<Service, Gate>,
    durations: BTreeMap<Service, Duration>,
    last_available: BTreeMap<Service, Instant>,
    rng: SmallRng,
    round_robin: usize,
}

/// Table of backend servers and waiting requests.
pub struct Slots {
    inner: Mutex<Inner>,
    data_centre: DataCentre,
    queue_capacity: usize,
    policy: Policy,
}

/// A place for one attempt at a backend server.
pub struct Slot {
    slots: Arc<Slots>,
    /// Host of the backend server.
    pub host: Host,
    /// Life of its agent.
    pub incarnation: Incarnation,
    service: Service,
    began: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots
            .release(&self.host, &self.service, clock::now() - self.began);
    }
}

impl Slots {
    /// Creates an empty table of an entry host in `data_centre` with queues of `room` requests.
    pub fn new(data_centre: &str, room: usize, policy: Policy, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                queues: BTreeMap::new(),
                backends: BTreeMap::new(),
                in_flight: InFlight::default(),
                drained: BTreeSet::new(),
                gates: BTreeMap::new(),
                durations: BTreeMap::new(),
                last_available: BTreeMap::new(),
                rng: SmallRng::seed_from_u64(seed),
                round_robin: 0,
            }),
            data_centre: data_centre.into(),
            queue_capacity: room,
            policy,
        })
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Arc<Self>, need: Requirements) -> Result<Slot, Rejection> {
        let service = need.service.clone();
        let (grant, granted) = oneshot::channel();
        self.enqueue(Waiter { need, grant });
        let (host, incarnation) = granted.await.map_err(|_| Rejection::NoBackend)??;
        Ok(Slot {
            slots: Arc::clone(self),
            host,
            incarnation,
            service,
            began: clock::now(),
        })
    }

    fn enqueue(&self, waiter: Waiter) {
        let mut inner = self.lock();
        let now = clock::now();
        let service = waiter.need.service.clone();
        if inner.cannot_meet_deadline(&waiter.need, now) {
            let _ = waiter.grant.send(Err(Rejection::Deadline));
            return;
        }
        let room = self.queue_capacity;
        let queue = inner
            .queues
            .entry(service.clone())
            .or_insert_with(|| Queue::new(room));
        let (organisation, weight) = (waiter.need.organisation.clone(), waiter.need.weight);
        let (class, deadline) = (waiter.need.class, waiter.need.deadline);
        let shed = queue.push(&organisation, weight, class, deadline, waiter);
        if let Some(shed) = shed {
            let _ = shed.grant.send(Err(Rejection::QueueFull));
        }
        self.assign_waiting(&mut inner, &service, now);
    }

    fn release(&self, host: &Host, service: &Service, took: Duration) {
        let mut inner = self.lock();
        inner.in_flight.remove(host);
        let usual = inner.durations.entry(service.clone()).or_insert(took);
        *usual = (*usual * (DURATION_SMOOTHING - 1) + took) / DURATION_SMOOTHING;
        self.assign_waiting(&mut inner, service, clock::now());
    }

    /// Gives slots to waiting requests while a backend server has headroom.
    fn assign_waiting(&self, inner: &mut Inner, service: &Service, now: Instant) {
        loop {
            let candidates = self.candidates(inner, service);
            if !candidates.iter().any(Candidate::has_headroom) {
                return;
            }
            let Some(queue) = inner.queues.get_mut(service) else {
                return;
            };
            let mut late = Vec::new();
            let next = queue.pop(now, &mut late);
            reject(late, Rejection::Deadline);
            let Some(waiter) = next else {
                return;
            };
            self.assign(inner, waiter, &candidates);
        }
    }

    fn assign(&self, inner: &mut Inner, waiter: Waiter, candidates: &[Candidate]) {
        let need = &waiter.need;
        let fits = |c: &&Candidate| {
            need.version
                .as_ref()
                .is_none_or(|v| inner.backends[&c.host].load.serving == **v)
        };
        let fitting: Vec<Candidate> = candidates.iter().filter(fits).cloned().collect();
        let fresh = |c: &&Candidate| !need.excluded.contains(&c.host);
        let mut pool: Vec<Candidate> = fitting.iter().filter(fresh).cloned().collect();
        if pool.is_empty() {
            pool = fitting;
        }
        inner.round_robin += 1;
        let turn = inner.round_robin;
        let prefix = need.prefix.as_deref();
        let chosen = route::choose(self.policy, &pool, prefix, turn, &mut inner.rng);
        let Some(chosen) = chosen else {
            let _ = waiter.grant.send(Err(Rejection::NoBackend));
            return;
        };
        let host = chosen.host.clone();
        let incarnation = inner.backends[&host].incarnation;
        inner.in_flight.add(&host);
        if waiter.grant.send(Ok((host.clone(), incarnation))).is_err() {
            inner.in_flight.remove(&host);
        }
    }

    fn candidates(&self, inner: &Inner, service: &Service) -> Vec<Candidate> {
        let usable = inner
            .backends
            .iter()
            .filter(|(_, b)| *b.load.service == **service && b.is_usable(&inner.drained));
        let candidates = usable.map(|(host, backend)| Candidate {
            host: host.clone(),
            local: backend.data_centre == self.data_centre,
            reported_load: backend.load.running + backend.load.waiting,
            in_flight: inner.in_flight.get(host),
            in_flight_at_report: backend.in_flight_at_report,
            limit: backend.load.limit,
        });
        candidates.collect()
    }

    /// Takes in a backend server's reported load.
    pub fn apply_report(
        &self,
        host: &str,
        data_centre: &str,
        incarnation: Incarnation,
        load: Load,
    ) {
        let mut inner = self.lock();
        let service: Service = load.service.as_str().into();
        let listed_leaving = inner.backends.get(host).is_some_and(|b| b.listed_leaving);
        let backend = Backend {
            load,
            data_centre: data_centre.into(),
            incarnation,
            in_flight_at_report: inner.in_flight.get(host),
            alive: true,
            listed_leaving,
        };
        inner.backends.insert(host.into(), backend);
        self.assign_waiting(&mut inner, &service, clock::now());
    }

    /// Notes whether a backend server may get new work.
    pub fn set_alive(&self, host: &str, alive: bool) {
        if let Some(backend) = self.lock().backends.get_mut(host) {
            backend.alive = alive;
        }
    }

    /// Notes whether the platform lists a backend server as leaving.
    pub fn set_listed_leaving(&self, host: &str, leaving: bool) {
        if let Some(backend) = self.lock().backends.get_mut(host) {
            backend.listed_leaving = leaving;
        }
    }

    /// Forgets a backend server.
    pub fn remove(&self, host: &str) {
        self.lock().backends.remove(host);
    }

    /// Takes up a configuration.
    pub fn configure(&self, state: &State) {
        let mut inner = self.lock();
        inner.drained = state.drained.clone();
        let services: Vec<Service> = inner.queues.keys().cloned().collect();
        for service in services {
            self.assign_waiting(&mut inner, &service, clock::now());
        }
    }

    /// Expires requests, computes the gates, and gives slots where heartbeats made room.
    pub fn tick(&self, state: &State, now: Instant) {
        let mut inner = self.lock();
        inner.gates = self.gates(&inner, state);
        let services: Vec<Service> = inner.queues.keys().cloned().collect();
        for service in services {
            if !self.candidates(&inner, &service).is_empty() {
                inner.last_available.insert(service.clone(), now);
            }
            let since = *inner.last_available.entry(service.clone()).or_insert(now);
            self.assign_waiting(&mut inner, &service, now);
            let Some(queue) = inner.queues.get_mut(&service) else {
                continue;
            };
            reject(queue.expire(now), Rejection::Deadline);
            if now >= since + NO_BACKEND_TIMEOUT {
                reject_all(queue, now);
            }
        }
    }

    fn gates(&self, inner: &Inner, state: &State) -> BTreeMap<Service, Gate> {
        let Some(bundle) = &state.bundle else {
            return BTreeMap::new();
        };
        let services = bundle.services.iter();
        let gates = services.map(|(name, service)| {
            let pool: BTreeMap<Host, Status> = inner
                .backends
                .iter()
                .filter(|(_, b)| b.load.service == **name && b.data_centre == self.data_centre)
                .map(|(host, b)| (host.clone(), b.status()))
                .collect();
            (
                name.clone(),
                gate(&pool, &bundle.version, service.floor_percent),
            )
        });
        gates.collect()
    }

    /// Whether the backend server may load now.
    pub fn may_load(&self, host: &str) -> bool {
        let inner = self.lock();
        inner.gates.values().any(|gate| gate.allowed.contains(host))
    }

    /// Reasons why roll-outs wait, by service.
    pub fn pause_reasons(&self) -> BTreeMap<Service, Box<str>> {
        let inner = self.lock();
        let waiting = inner
            .gates
            .iter()
            .filter(|(_, gate)| !gate.pause_reason.is_empty());
        waiting
            .map(|(name, gate)| (name.clone(), gate.pause_reason.clone()))
            .collect()
    }

    /// Backend servers as last reported.
    pub fn backends(&self) -> BTreeMap<Host, Backend> {
        self.lock().backends.clone()
    }

    /// Attempts in flight at a host.
    pub fn in_flight(&self, host: &str) -> u32 {
        self.lock().in_flight.get(host)
    }

    /// Attempts in flight in all.
    pub fn total_in_flight(&self) -> u32 {
        self.lock().in_flight.total()
    }

    /// Requests queued in all.
    pub fn queue_length(&self) -> usize {
        self.lock().queues.values().map(Queue::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds the lock")
    }
}

impl Inner {
    /// Whether a request cannot be served before its deadline, by what attempts took lately.
    fn cannot_meet_deadline(&self, need: &Requirements, now: Instant) -> bool {
        if need.deadline <= now {
            return true;
        }
        let usual = self
            .durations
            .get(&need.service)
            .copied()
            .unwrap_or_default();
        let queued = self.queues.get(&need.service).map_or(0, Queue::len) as u32;
        let serving = self
            .backends
            .values()
            .filter(|b| *b.load.service == *need.service);
        let limit: u32 = serving
            .filter(|b| b.is_usable(&self.drained))
            .map(|b| b.load.limit)
            .sum();
        if queued == 0 || limit == 0 {
            return false;
        }
        now + usual * queued / limit > need.deadline
    }
}

fn reject(waiters: Vec<Waiter>, refused: Rejection) {
    for waiter in waiters {
        let _ = waiter.grant.send(Err(refused));
    }
}

fn reject_all(queue: &mut Queue<Waiter>, now: Instant) {
    let mut late = Vec::new();
    while let Some(waiter) = queue.pop(now, &mut late) {
        let _ = waiter.grant.send(Err(Rejection::NoBackend));
    }
    reject(late, Rejection::Deadline);
}
