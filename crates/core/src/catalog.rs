//! Catalog of a site's routes, services and organisations, for an operator who keeps the whole
//! configuration in one document.

use {
    crate::id::{self, DataCentre, Region, Revision, Service},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Whether and how the requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answered by an event stream that another engine can continue.
    Resumable,
    /// Answered by an event stream that no other engine can continue; runs at most once.
    Stream,
}

impl Kind {
    /// Whether a request that may have run may be sent again.
    pub fn retryable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Resumable | Kind::Stream)
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Service,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Rules for the requests to a host name whose paths share a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Box<str>,
    /// Prefix of the paths, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// Whether and how requests may be retried.
    pub kind: Kind,
    /// Whether callers need no API key.
    pub public: bool,
    /// Time after which a caller without a final answer gets an error.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest gap between two events of a stream.
    pub gap_target: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of engines that a request may be sent to.
    pub max_attempts: u32,
    /// Services that run the requests; never empty.
    pub targets: Vec<Target>,
    /// Regions in which the requests may be processed; empty for all.
    pub regions: Vec<Region>,
}

impl Route {
    /// Picks a service by weight; `sample` is drawn uniformly from 0 to 1.
    pub fn pick_service(&self, sample: f64) -> &Service {
        let weights = self.targets.iter().map(|target| f64::from(target.weight));
        let mut remaining = sample * weights.sum::<f64>();
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// Published speed of a service's inference engines.
///
/// An engine works in passes. In a pass it prefills the prompts of new requests and then decodes
/// several tokens, one a step, for each running request.
#[derive(Debug, Clone, PartialEq)]
pub struct Speed {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of decode steps in a pass.
    pub steps_per_pass: u32,
    /// Time of a decode step without any request.
    pub step_time: Duration,
    /// Additional time of a decode step per decoding request.
    pub step_time_per_sequence: Duration,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Mean length of a prompt, tokens.
    pub mean_prompt: u32,
    /// Mean length of an answer, tokens.
    pub mean_answer: u32,
    /// Name of the model.
    pub model: Box<str>,
}

/// A service and the limits of its engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub name: Service,
    /// Number of connections that an engine accepts from all hosts together; 0 if unknown.
    pub max_connections: u32,
    /// Time after its start during which an engine is cold.
    pub cold_period: Duration,
    /// Requests per second that a cold engine accepts from all hosts together; 0 for no limit.
    pub cold_rate: f64,
    /// Speed of the engines, if they run a model.
    pub speed: Option<Speed>,
    /// Origin of model weights, if this service provides them.
    pub origin: Option<Origin>,
}

/// Server from which model weights are downloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentre,
}

/// An organisation and its restrictions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: id::Organisation,
    /// Regions in which its requests may be processed; empty for all.
    pub regions: Vec<Region>,
    /// Priority of its requests on all routes, if not that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, bytes.
    pub max_body_bytes: usize,
    /// Time within which the body of a request must arrive.
    pub body_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Number of the configuration; increases with every change.
    pub revision: Revision,
    /// Routes by host name, longest path prefix first.
    pub routes: BTreeMap<Box<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Service, Backend>,
    /// Organisations by API key; an organisation may have several keys.
    pub organisations_by_key: BTreeMap<Box<str>, Arc<Organisation>>,
    /// Whether callers need an API key on routes that are not public.
    pub keys_required: bool,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Catalog {
    /// Route of a request: the one with the longest matching path prefix among those of its host
    /// name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Organisation that an API key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations_by_key.get(key)
    }

    /// Priorities that requests for a service may have, by its routes and the organisations that may
    /// call them.
    pub fn priorities(&self, service: &str) -> BTreeSet<u8> {
        let mut priorities = BTreeSet::new();
        let mut needs_key = false;
        for route in self.routes.values().flatten() {
            if route.targets.iter().any(|t| *t.service == *service) {
                priorities.insert(route.priority);
                needs_key |= !route.public;
            }
        }
        if needs_key {
            let organisations = self.organisations_by_key.values();
            priorities.extend(organisations.filter_map(|o| o.priority));
        }
        priorities
    }

    /// Origin of model weights, if a service provides them.
    pub fn origin(&self) -> Option<&Origin> {
        self.services.values().find_map(|s| s.origin.as_ref())
    }
}

/// Priority in force for a request: that of its organisation, or else that of its route.
pub fn priority(route: &Route, organisation: Option<&Organisation>) -> u8 {
    let of_organisation = organisation.and_then(|organisation| organisation.priority);
    of_organisation.unwrap_or(route.priority)
}

/// Whether a request may be processed in `region`, given the regions that its route and organisation
/// allow; an empty list allows all.
pub fn region_allowed(region: &str, route: &[Region], organisation: &[Region]) -> bool {
    let contains =
        |regions: &[Region]| regions.is_empty() || regions.iter().any(|r| **r == *region);
    contains(route) && contains(organisation)
}
