//! Chooses the engine that gets a request, and how long the request waits for one.

use {
    crate::{
        front::exchange::{Exchange, RETRY_AFTER},
        shared::lock,
    },
    jayspread_core::{
        catalog::Backend,
        placement::{Choice, Refusal, Requirements},
    },
    jayspread_net::clock,
    std::time::{Duration, Instant},
    tokio::time,
};

/// A first attempt waits for a free engine for the route's latency target divided by this; after
/// that, an early refusal serves the caller better.
const WAIT_DIVISOR: u32 = 8;
/// Time for which a further attempt waits for a free engine.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// Retry delay suggested to a caller that retries while the service is saturated; its request gives
/// way to the first tries of other callers.
const SATURATED_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Interval between checks for a free engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Share of the latency target within which the response to a caller's retry must be expected. It
/// is late already and must not delay responses that can still be on time.
const CALLER_RETRY_SHARE: f64 = 0.55;

impl Exchange {
    /// Chooses an engine; waits for a limited time while all are busy.
    pub async fn acquire_engine(&mut self) -> Result<Choice, Refusal> {
        let is_first_try = !self.is_caller_retry && self.call.sends() == 0;
        if self.is_caller_retry
            && self.route.kind.is_stream()
            && self.state.is_saturated(&self.service)
        {
            return Err(Refusal::Busy(SATURATED_RETRY_AFTER));
        }
        let deadline = self.wait_deadline();
        loop {
            self.check_quarantine()?;
            match self.choose_engine() {
                Err(_) if clock::now() + CHECK_INTERVAL < deadline => {
                    time::sleep(CHECK_INTERVAL).await
                }
                choice => {
                    if is_first_try && matches!(choice, Err(Refusal::Busy(_))) {
                        self.state.mark_saturated(&self.service);
                    }
                    return choice;
                }
            }
        }
    }

    /// Time until which the request waits for a free engine. A caller's retry does not wait at all;
    /// after a failed attempt the wait is longer.
    fn wait_deadline(&self) -> Instant {
        if self.call.sends() > 0 {
            return self.deadline.min(clock::now() + RETRY_WAIT);
        }
        if self.is_caller_retry {
            return self.arrived;
        }
        self.arrived + self.route.latency_target / WAIT_DIVISOR
    }

    /// Chooses an engine and reserves capacity there.
    pub fn choose_engine(&mut self) -> Result<Choice, Refusal> {
        let place = self.state.place();
        let backend = self.backend()?;
        let model = backend.speed.as_ref().map(|speed| &speed.model);
        let version_bounds = model.map_or_else(Vec::new, |model| self.state.version_bounds(model));
        let requirements = Requirements {
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
            version_bounds: &version_bounds,
            excluded: &self.tried,
            place,
            resuming: self.call.response_started(),
        };
        let mut table = lock(&self.state.engines);
        table.choose(&requirements, &mut rand::rng(), clock::now())
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
