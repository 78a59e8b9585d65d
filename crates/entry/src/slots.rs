//! Assignment of requests to backend servers.
//!
//! A request waits in the fair queue of its service until a backend server has headroom. It is then
//! granted a slot at that server and holds it until the attempt ends.

use {
    jayspread_core::{
        config::State,
        fair::{Class, Queue},
        id::{DataCentre, Host, Incarnation, Organisation, Service, Version},
        rollout::{Gate, Status, gate},
        route::{self, Candidate, InFlight, Policy},
    },
    jayspread_net::{clock, sync},
    jayspread_schema::wire::{Load, Phase},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Time without a usable backend server after which the waiting requests are rejected.
const NO_BACKEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Divisor of the moving average of attempt durations: a new sample weighs 1/16.
const DURATION_SMOOTHING: u32 = 16;

/// Why a request is not granted a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The request was evicted from, or not admitted to, a full queue.
    QueueFull,
    /// No backend server is usable.
    NoBackend,
}

/// A backend server as reported by its agent's heartbeats.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Load and state in the last heartbeat.
    pub load: Load,
    /// Data centre of the backend server.
    pub data_centre: DataCentre,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Attempts that this entry host had in flight when the load was reported.
    in_flight_at_report: u32,
    /// Whether heartbeats arrive and do not announce a shutdown.
    pub alive: bool,
    /// Whether the platform's host list marks it as leaving.
    pub listed_leaving: bool,
}

impl Backend {
    /// Whether it serves a complete version, or belongs to a service without weights.
    fn is_serving(&self) -> bool {
        match self.load.phase() {
            Phase::Serving => true,
            Phase::Ready | Phase::Fetching => !self.load.serving.is_empty(),
            _ => false,
        }
    }

    /// Whether it may get new requests, given the drained data centres.
    fn is_usable(&self, drained: &BTreeSet<DataCentre>) -> bool {
        self.alive
            && !self.listed_leaving
            && self.is_serving()
            && !drained.contains(&self.data_centre)
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

/// What a request requires of its slot.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Service that the request is for.
    pub service: Service,
    /// Organisation that the request is accounted to.
    pub organisation: Organisation,
    /// Weight of the organisation in the fair queue.
    pub weight: u64,
    /// Priority class.
    pub class: Class,
    /// Time by which the request must have started.
    pub deadline: Instant,
    /// Start of the prompt, for cache affinity; absent where affinity does not apply.
    pub prefix: Option<Box<[u8]>>,
    /// Hosts of earlier attempts, used only when no other host matches.
    pub excluded: BTreeSet<Host>,
    /// Version that a resumed response must continue with.
    pub version: Option<Version>,
}

struct Waiter {
    requirements: Requirements,
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
    assignments: usize,
}

/// Backend servers and waiting requests of an entry host.
pub struct Slots {
    inner: Mutex<Inner>,
    data_centre: DataCentre,
    queue_capacity: usize,
    policy: Policy,
}

/// Permission for one attempt at a backend server; dropping it releases the capacity.
pub struct Slot {
    slots: Arc<Slots>,
    /// Host of the backend server.
    pub host: Host,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    service: Service,
    granted_at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots
            .release(&self.host, &self.service, clock::now() - self.granted_at);
    }
}

impl Slots {
    /// Creates the slots of an entry host in `data_centre`; each service's queue holds at most
    /// `queue_capacity` requests.
    pub fn new(data_centre: &str, queue_capacity: usize, policy: Policy, seed: u64) -> Arc<Self> {
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
                assignments: 0,
            }),
            data_centre: data_centre.into(),
            queue_capacity,
            policy,
        })
    }

    /// Waits until a slot is granted or the request is rejected.
    pub async fn acquire(self: &Arc<Self>, requirements: Requirements) -> Result<Slot, Rejection> {
        let service = requirements.service.clone();
        let (grant, granted) = oneshot::channel();
        self.enqueue(Waiter {
            requirements,
            grant,
        });
        let (host, incarnation) = granted.await.map_err(|_| Rejection::NoBackend)??;
        Ok(Slot {
            slots: Arc::clone(self),
            host,
            incarnation,
            service,
            granted_at: clock::now(),
        })
    }

    fn enqueue(&self, waiter: Waiter) {
        let mut inner = self.lock();
        let now = clock::now();
        let service = waiter.requirements.service.clone();
        if inner.cannot_meet_deadline(&waiter.requirements, now) {
            let _ = waiter.grant.send(Err(Rejection::Deadline));
            return;
        }
        let queue_capacity = self.queue_capacity;
        let queue = inner
            .queues
            .entry(service.clone())
            .or_insert_with(|| Queue::new(queue_capacity));
        let (organisation, weight) = (
            waiter.requirements.organisation.clone(),
            waiter.requirements.weight,
        );
        let (class, deadline) = (waiter.requirements.class, waiter.requirements.deadline);
        let evicted = queue.push(&organisation, weight, class, deadline, waiter);
        if let Some(evicted) = evicted {
            let _ = evicted.grant.send(Err(Rejection::QueueFull));
        }
        self.assign_waiting(&mut inner, &service, now);
    }

    fn release(&self, host: &Host, service: &Service, duration: Duration) {
        let mut inner = self.lock();
        inner.in_flight.remove(host);
        let average = inner.durations.entry(service.clone()).or_insert(duration);
        *average = (*average * (DURATION_SMOOTHING - 1) + duration) / DURATION_SMOOTHING;
        self.assign_waiting(&mut inner, service, clock::now());
    }

    /// Grants slots to waiting requests while a backend server has headroom.
    fn assign_waiting(&self, inner: &mut Inner, service: &Service, now: Instant) {
        loop {
            let candidates = self.candidates(inner, service);
            if !candidates.iter().any(Candidate::has_headroom) {
                return;
            }
            let Some(queue) = inner.queues.get_mut(service) else {
                return;
            };
            let mut expired = Vec::new();
            let next = queue.pop(now, &mut expired);
            reject(expired, Rejection::Deadline);
            let Some(waiter) = next else {
                return;
            };
            self.assign(inner, waiter, &candidates);
        }
    }

    /// Assigns a request to one of the candidates, or rejects it when none matches.
    fn assign(&self, inner: &mut Inner, waiter: Waiter, candidates: &[Candidate]) {
        let requirements = &waiter.requirements;
        let matches_version = |c: &&Candidate| {
            requirements
                .version
                .as_ref()
                .is_none_or(|v| inner.backends[&c.host].load.serving == **v)
        };
        let matching: Vec<Candidate> = candidates.iter().filter(matches_version).cloned().collect();
        let not_excluded = |c: &&Candidate| !requirements.excluded.contains(&c.host);
        let mut pool: Vec<Candidate> = matching.iter().filter(not_excluded).cloned().collect();
        if pool.is_empty() {
            pool = matching;
        }
        inner.assignments += 1;
        let round = inner.assignments;
        let prefix = requirements.prefix.as_deref();
        let candidate = route::choose(self.policy, &pool, prefix, round, &mut inner.rng);
        let Some(candidate) = candidate else {
            let _ = waiter.grant.send(Err(Rejection::NoBackend));
            return;
        };
        let host = candidate.host.clone();
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
            reported_load: backend.load.running.saturating_add(backend.load.waiting),
            in_flight: inner.in_flight.get(host),
            in_flight_at_report: backend.in_flight_at_report,
            limit: backend.load.limit,
        });
        candidates.collect()
    }

    /// Applies the load that a backend server reported.
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

    /// Sets whether a backend server is alive.
    pub fn set_alive(&self, host: &str, alive: bool) {
        if let Some(backend) = self.lock().backends.get_mut(host) {
            backend.alive = alive;
        }
    }

    /// Sets whether the platform's host list marks a backend server as leaving.
    pub fn set_listed_leaving(&self, host: &str, leaving: bool) {
        if let Some(backend) = self.lock().backends.get_mut(host) {
            backend.listed_leaving = leaving;
        }
    }

    /// Removes a backend server.
    pub fn remove(&self, host: &str) {
        self.lock().backends.remove(host);
    }

    /// Applies the drained data centres of a new configuration.
    pub fn configure(&self, state: &State) {
        let mut inner = self.lock();
        inner.drained = state.drained.clone();
        let services: Vec<Service> = inner.queues.keys().cloned().collect();
        for service in services {
            self.assign_waiting(&mut inner, &service, clock::now());
        }
    }

    /// Rejects expired requests, computes the roll-out gates, and grants slots that heartbeats
    /// freed up.
    pub fn tick(&self, state: &State, now: Instant) {
        let mut inner = self.lock();
        inner.gates = self.gates(&inner, state);
        let services: Vec<Service> = inner.queues.keys().cloned().collect();
        for service in services {
            if !self.candidates(&inner, &service).is_empty() {
                inner.last_available.insert(service.clone(), now);
            }
            let last_available = *inner.last_available.entry(service.clone()).or_insert(now);
            self.assign_waiting(&mut inner, &service, now);
            let Some(queue) = inner.queues.get_mut(&service) else {
                continue;
            };
            reject(queue.expire(now), Rejection::Deadline);
            if now >= last_available + NO_BACKEND_TIMEOUT {
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

    /// Whether the roll-out gate allows the backend server to load weights.
    pub fn may_load(&self, host: &str) -> bool {
        let inner = self.lock();
        inner.gates.values().any(|gate| gate.allowed.contains(host))
    }

    /// Reasons why roll-outs are paused, by service.
    pub fn pause_reasons(&self) -> BTreeMap<Service, Box<str>> {
        let inner = self.lock();
        let paused = inner
            .gates
            .iter()
            .filter(|(_, gate)| !gate.pause_reason.is_empty());
        paused
            .map(|(name, gate)| (name.clone(), gate.pause_reason.clone()))
            .collect()
    }

    /// Returns the backend servers as last reported.
    pub fn backends(&self) -> BTreeMap<Host, Backend> {
        self.lock().backends.clone()
    }

    /// Returns the number of attempts in flight at a host.
    pub fn in_flight(&self, host: &str) -> u32 {
        self.lock().in_flight.get(host)
    }

    /// Returns the number of attempts in flight at all hosts.
    pub fn total_in_flight(&self) -> u32 {
        self.lock().in_flight.total()
    }

    /// Returns the number of requests queued for all services.
    pub fn queue_length(&self) -> usize {
        self.lock().queues.values().map(Queue::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        sync::lock(&self.inner)
    }
}

impl Inner {
    /// Estimates from recent attempt durations whether a request would miss its deadline.
    fn cannot_meet_deadline(&self, requirements: &Requirements, now: Instant) -> bool {
        if requirements.deadline <= now {
            return true;
        }
        let average = self
            .durations
            .get(&requirements.service)
            .copied()
            .unwrap_or_default();
        let queued = self.queues.get(&requirements.service).map_or(0, Queue::len) as u32;
        let backends = self
            .backends
            .values()
            .filter(|b| *b.load.service == *requirements.service);
        let total_limit: u32 = backends
            .filter(|b| b.is_usable(&self.drained))
            .map(|b| b.load.limit)
            .sum();
        if queued == 0 || total_limit == 0 {
            return false;
        }
        now + average * queued / total_limit > requirements.deadline
    }
}

fn reject(waiters: Vec<Waiter>, rejection: Rejection) {
    for waiter in waiters {
        let _ = waiter.grant.send(Err(rejection));
    }
}

fn reject_all(queue: &mut Queue<Waiter>, now: Instant) {
    let mut expired = Vec::new();
    while let Some(waiter) = queue.pop(now, &mut expired) {
        let _ = waiter.grant.send(Err(Rejection::NoBackend));
    }
    reject(expired, Rejection::Deadline);
}
