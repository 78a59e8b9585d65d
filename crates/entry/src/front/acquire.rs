//! Admits a request, chooses the engine that gets it, and how long it waits for one.

use {
    crate::{
        front::{
            exchange::{Exchange, RETRY_AFTER},
            metrics::Class,
            state::State,
        },
        shared::lock,
    },
    jayspread_core::{
        catalog::Backend,
        patience::{self, Place, Rank},
        placement::{Choice, Refusal, Requirements},
    },
    jayspread_net::clock,
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Interval between checks for a free engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The same for a request that others wait behind.
const URGENT_CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Time for which a request leaves free engines to those before it. After that, they can't use what
/// is free, for example because of regions.
const YIELD_TIME: Duration = Duration::from_millis(20);
/// Share of the latency target within which the response to a caller's retry must be expected. It
/// is late already and must not delay responses that can still be on time.
const CALLER_RETRY_SHARE: f64 = 0.55;

/// Place of a request in the line of its service, given up when dropped.
struct Waiting {
    state: Arc<State>,
    service: Box<str>,
    class: Class,
    place: Place,
}

impl Waiting {
    fn join(exchange: &Exchange, rank: Rank) -> Self {
        let class = exchange.class();
        let state = Arc::clone(&exchange.state);
        state.metrics.waiting.get_or_create(&class).inc();
        let service = exchange.service.clone();
        let place = state.with_admission(&service, |admission| admission.line.join(rank));
        Self {
            state,
            service,
            class,
            place,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let place = self.place;
        self.state
            .with_admission(&self.service, |admission| admission.line.leave(place));
        self.state.metrics.waiting.get_or_create(&self.class).dec();
    }
}

impl Exchange {
    /// Admits the request and chooses an engine; waits for a limited time while all are busy. A
    /// request that was admitted once goes on to another engine if the first one fails.
    pub async fn acquire_engine(&mut self) -> Result<Choice, Refusal> {
        let was_sent = self.call.sends() > 0;
        let is_new = self.tried.is_empty();
        if is_new && !self.admit() {
            return Err(Refusal::Shed(self.return_delay()));
        }
        let request = patience::Request {
            was_sent,
            latency_target: self.route.latency_target,
            age: self.elapsed(),
        };
        let result = self.wait_for_engine(request).await;
        if was_sent {
            return result;
        }
        let found = match &result {
            Ok(_) => true,
            Err(Refusal::Busy(_) | Refusal::NoEngine(_)) => false,
            Err(_) => return result,
        };
        if is_new {
            self.record_outcome(found);
        }
        result.map_err(|refusal| refusal.with_retry_after(self.return_delay()))
    }

    /// Waits for an engine, behind the requests of a better rank that wait at this host.
    async fn wait_for_engine(&mut self, request: patience::Request) -> Result<Choice, Refusal> {
        let began = clock::now();
        let deadline = began + request.wait().min(self.remaining());
        let rank = Rank {
            // A request that has lost its engine goes before all others.
            class: if request.was_sent { 0 } else { self.priority() },
            is_first_try: !request.was_sent && !self.is_caller_retry,
        };
        let mut waiting: Option<Waiting> = None;
        loop {
            self.check_quarantine()?;
            let (is_next, has_behind) = self.state.with_admission(&self.service, |admission| {
                let line = &admission.line;
                (line.is_next(rank), line.has_behind(rank))
            });
            let now = clock::now();
            let is_last_check = now + CHECK_INTERVAL >= deadline;
            if is_next || is_last_check || now >= began + YIELD_TIME {
                let choice = self.choose_engine();
                if choice.is_ok() || is_last_check {
                    return choice;
                }
            }
            waiting.get_or_insert_with(|| Waiting::join(self, rank));
            self.observe_free_slots();
            let interval = if has_behind {
                URGENT_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
            };
            time::sleep(interval).await;
        }
    }

    /// Chooses an engine and reserves capacity there.
    pub fn choose_engine(&mut self) -> Result<Choice, Refusal> {
        self.with_requirements(|requirements| {
            let mut table = lock(&self.state.engines);
            table.choose(requirements, &mut rand::rng(), clock::now())
        })?
    }

    /// Calls `visit` with what the request requires of an engine.
    pub fn with_requirements<T>(
        &self,
        visit: impl FnOnce(&Requirements<'_>) -> T,
    ) -> Result<T, Refusal> {
        let place = self.state.place();
        let backend = self.backend()?;
        let model = backend.speed.as_ref().map(|speed| &speed.model);
        let version_bounds = model.map_or_else(Vec::new, |model| self.state.version_bounds(model));
        Ok(visit(&Requirements {
            route: &self.route,
            backend,
            region: &self.state.region,
            organisation_regions: self
                .organisation
                .as_ref()
                .map_or(&[], |organisation| &organisation.regions),
            prompt_tokens: self.request.prompt_tokens,
            answer_tokens: self.request.answer_tokens,
            time_left: self.remaining_latency_target(),
            deadline_left: self.remaining(),
            version_bounds: &version_bounds,
            excluded: &self.tried,
            place,
            resuming: self.call.response_started(),
        }))
    }

    fn backend(&self) -> Result<&Backend, Refusal> {
        let backend = self.catalog.services.get(&self.service);
        backend.ok_or(Refusal::NoEngine(RETRY_AFTER))
    }

    /// Time within which the response should begin. A further attempt gets the route's whole
    /// latency target, since its response is late in any case; a caller's retry gets a part of it.
    fn remaining_latency_target(&self) -> Duration {
        if self.call.sends() > 0 {
            return self.route.latency_target;
        }
        if self.is_caller_retry {
            return self.route.latency_target.mul_f64(CALLER_RETRY_SHARE);
        }
        self.route.latency_target.saturating_sub(self.elapsed())
    }
}
