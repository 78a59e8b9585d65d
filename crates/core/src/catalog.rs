//! Configuration of a site whose operator keeps routes, services and organisations in one document.

use {
    crate::id::{DataCentre, Organisation, Region, Revision, Service},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// What may be repeated of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answered by a stream of events that another engine can continue.
    Resumable,
    /// Answered by a stream of events that nobody can continue; runs at most once.
    Stream,
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn retryable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Resumable | Kind::Stream)
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Service,
    /// Weight against the route's other targets.
    pub weight: u32,
}

/// Requests of one host name whose paths begin alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Beginning of the paths, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Whether callers need no key.
    pub public: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_target: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub gap_target: Option<Duration>,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Engines that one request may be sent to.
    pub max_attempts: u32,
    /// Services that run the requests; never empty.
    pub targets: Vec<Target>,
    /// Regions that may see the requests; empty for all.
    pub regions: Vec<Region>,
}

impl Route {
    /// Chooses a target by weight; `draw` is uniform in 0 to 1.
    pub fn pick_service(&self, draw: f64) -> &Service {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// Published speed of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Speed {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Token steps of a pass in which requests write.
    pub steps_per_pass: u32,
    /// Time of a token step.
    pub step_time: Duration,
    /// Additional time of a token step for each writing request.
    pub step_time_per_sequence: Duration,
    /// Prompt tokens read in a second.
    pub prefill_rate: f64,
    /// Mean prompt, tokens.
    pub mean_prompt: u32,
    /// Mean answer, tokens.
    pub mean_answer: u32,
    /// Name of the model.
    pub model: Box<str>,
}

/// A service and what its engines bear.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Name.
    pub name: Service,
    /// Connections that one engine accepts from all callers together; 0 for unknown.
    pub max_connections: u32,
    /// Time for which an engine is cold after its start.
    pub cold_period: Duration,
    /// Requests a second that a cold engine bears; 0 for no bound.
    pub cold_rate: f64,
    /// Speed, for model engines.
    pub speed: Option<Speed>,
    /// Where weights come from, for the service that hands them out.
    pub origin: Option<Origin>,
}

/// Origin of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: DataCentre,
}

/// An organisation and its rights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name.
    pub name: Organisation,
    /// Regions that may see its requests; empty for all.
    pub regions: Vec<Region>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, bytes.
    pub max_body_bytes: usize,
    /// Longest time that a caller may take to send a request.
    pub body_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Number of the configuration; only goes up.
    pub revision: Revision,
    /// Routes by host name, longest prefix first.
    pub routes: BTreeMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Service, Backend>,
    /// Organisations by each of their keys.
    pub tenants_by_key: BTreeMap<Box<str>, Arc<Tenant>>,
    /// Whether callers need keys at all.
    pub keys_required: bool,
    /// Bounds on what callers send.
    pub limits: Limits,
}

impl Catalog {
    /// Route of a request: the longest prefix of its path among the routes of its host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Organisation that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_key.get(key)
    }

    /// Origin of weights, if a service hands them out.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|s| s.origin.as_ref())
    }
}

/// Whether an engine in `region` may see a request that both lists bind.
pub fn region_allowed(region: &str, route: &[Region], tenant: &[Region]) -> bool {
    let within = |regions: &[Region]| regions.is_empty() || regions.iter().any(|r| **r == *region);
    within(route) && within(tenant)
}
