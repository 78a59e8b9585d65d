//! Control loop: follows the configuration, advances the loader, opens and closes admission.

use {
    crate::{
        attempt,
        engine::Location,
        fetch::Job,
        shared::{Shared, lock},
    },
    jayspread_core::{
        admission::Dequeued,
        bundle::Bundle,
        config::State,
        id::{ChunkHash, Revision, Version},
        load::{self, Action, Event, Report, Target},
        ramp::Ramp,
    },
    jayspread_net::{clock, event},
    jayspread_schema::settings::Kind,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time},
};

/// Interval between iterations of the loop.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the state of an engine that serves a version.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Control loop of one agent.
pub struct Controller {
    shared: Arc<Shared>,
    job: Option<(Arc<Job>, JoinHandle<()>)>,
    last_fence: Revision,
    /// Identifier of the roster seen last.
    roster: u64,
    last_read: Option<Instant>,
    /// Last state read from the engine.
    engine_report: Option<Report>,
    /// Version that attempts may run on, as decided by the loader; empty for a plain service.
    serving: Option<Version>,
    admission_open: bool,
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some((_, task)) = &self.job {
            task.abort();
        }
    }
}

impl Controller {
    /// Creates the control loop of the agent with this state.
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            job: None,
            last_fence: 0,
            roster: 0,
            last_read: None,
            engine_report: None,
            serving: None,
            admission_open: false,
        }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut interval = time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.shared.control_wakeup.notified() => {}
            }
            self.tick().await;
        }
    }

    async fn tick(&mut self) {
        let now = clock::now();
        if self.shared.settings.backend.kind == Kind::Engine {
            self.follow_config(now);
            self.advance_loader(now).await;
        } else {
            self.serving = Some("".into());
        }
        self.update_admission(now);
        let (dequeued, expired) = lock(&self.shared.admission).tick(now);
        attempt::start_waiting(&self.shared, dequeued);
        let mut responses = lock(&self.shared.responses);
        for request in expired {
            responses.remove(&request);
        }
        drop(responses);
        self.shared.peers.remove_expired(now);
    }

    /// Reacts to a new version or roster, once the engine's state is known.
    fn follow_config(&mut self, now: Instant) {
        if self.engine_report.is_none() {
            return;
        }
        let (state, roster) = {
            let config = lock(&self.shared.config);
            (config.replica.state(), config.roster)
        };
        if state.fence != self.last_fence {
            self.last_fence = state.fence;
            self.begin_version(&state, now);
        }
        self.start_fetch(&state);
        if roster != self.roster {
            self.roster = roster;
            if let Some((job, _)) = &self.job {
                job.roster_changed();
            }
        }
    }

    fn begin_version(&mut self, state: &State, now: Instant) {
        if let Some((_, task)) = self.job.take() {
            task.abort();
        }
        let Some(bundle) = &state.bundle else {
            return;
        };
        if bundle.pieces(self.shared.service()).is_empty() {
            return;
        }
        let target = self.load_target(bundle, state.fence);
        event!(
            Info,
            "version_wanted",
            version = target.version,
            fence = target.fence
        );
        lock(&self.shared.loader).handle(&Event::Target(target), now);
    }

    /// Starts a fetch if the target version is not complete and no fetch is running.
    fn start_fetch(&mut self, state: &State) {
        if self
            .job
            .as_ref()
            .is_some_and(|(_, task)| !task.is_finished())
        {
            return;
        }
        let missing = {
            let loader = lock(&self.shared.loader);
            let serving = self
                .engine_report
                .as_ref()
                .and_then(|report| report.serving.as_ref());
            let is_equivalent =
                |target: &Target| serving.is_some_and(|v| target.equivalent_versions.contains(v));
            loader.target().is_some_and(|target| !is_equivalent(target)) && !loader.is_complete()
        };
        if !missing {
            return;
        }
        let Some(bundle) = &state.bundle else {
            return;
        };
        let bundle = Arc::clone(bundle);
        self.job = Some(Job::start(&self.shared, bundle, self.loaded_chunks()));
    }

    fn load_target(&self, bundle: &Bundle, fence: Revision) -> Target {
        let service = self.shared.service();
        let content = bundle.content_digest(service);
        let config = lock(&self.shared.config);
        let equivalent = config
            .replica
            .bundles()
            .filter(|b| b.content_digest(service) == content);
        Target {
            version: bundle.version.clone(),
            fence,
            piece_count: bundle.pieces(service).len(),
            equivalent_versions: equivalent.map(|b| b.version.clone()).collect(),
        }
    }

    /// Chunks of the version that the engine serves, which need not be fetched again.
    fn loaded_chunks(&self) -> BTreeMap<ChunkHash, Location> {
        let Some(version) = self
            .engine_report
            .as_ref()
            .and_then(|report| report.serving.as_ref())
        else {
            return BTreeMap::new();
        };
        let config = lock(&self.shared.config);
        let bundle = config.replica.bundles().find(|b| b.version == *version);
        let Some(bundle) = bundle else {
            return BTreeMap::new();
        };
        let pieces = bundle.pieces(self.shared.service());
        let locations = pieces
            .iter()
            .map(|piece| (piece.hash, Location::new(version, piece)));
        locations.collect()
    }

    /// Passes events to the loader and performs its actions until it has none left.
    async fn advance_loader(&mut self, now: Instant) {
        let granted = self.is_load_granted();
        let idle = lock(&self.shared.admission).running() == 0;
        let mut actions = Vec::new();
        {
            let mut loader = lock(&self.shared.loader);
            actions.extend(loader.handle(&Event::Grant(granted), now));
            if idle {
                actions.extend(loader.handle(&Event::Drained, now));
            }
            if self.is_read_due(loader.state(), now) {
                self.last_read = Some(now);
                actions.extend(loader.handle(&Event::Tick, now));
            }
        }
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            if let Some(event) = self.perform(action, now).await {
                let further = lock(&self.shared.loader).handle(&event, clock::now());
                actions.extend(further);
            }
        }
    }

    fn is_read_due(&self, state: &load::State, now: Instant) -> bool {
        let interval = match state {
            load::State::Serving { .. } => READ_INTERVAL,
            _ => TICK_INTERVAL,
        };
        self.last_read.is_none_or(|at| now >= at + interval)
    }

    fn is_load_granted(&self) -> bool {
        let version = lock(&self.shared.loader)
            .target()
            .map(|target| target.version.clone());
        let Some(version) = version else {
            return false;
        };
        lock(&self.shared.grants).allows(&version)
    }

    async fn perform(&mut self, action: Action, now: Instant) -> Option<Event> {
        match action {
            Action::Pause => {
                self.serving = None;
                self.update_admission(now);
                None
            }
            Action::Resume(version) => {
                event!(Info, "version_served", version = version);
                *lock(&self.shared.last_served) = version.clone();
                self.serving = Some(version);
                None
            }
            Action::MarkCold => {
                self.reset_ramp(now);
                None
            }
            Action::Load(target) => Some(self.order_load(target).await),
            Action::ReadState => {
                let report = self.shared.engine.state().await.ok()?;
                self.engine_report = Some(report.clone());
                Some(Event::Report(report))
            }
        }
    }

    async fn order_load(&self, target: Target) -> Event {
        let running = lock(&self.shared.admission).running();
        assert_eq!(
            running, 0,
            "an engine loads only while no attempt is running"
        );
        self.shared.metrics.load_orders.inc();
        event!(
            Info,
            "load_ordered",
            version = target.version,
            fence = target.fence
        );
        match self.shared.engine.order_load(target).await {
            Ok(()) => Event::OrderAnswered,
            Err(cause) => {
                event!(Warn, "load_order_failed", reason = cause);
                Event::OrderFailed
            }
        }
    }

    fn reset_ramp(&self, now: Instant) {
        self.shared.metrics.cold_starts.inc();
        let ramp: &mut Ramp = &mut lock(&self.shared.admission).ramp;
        ramp.reset(now);
    }

    /// Opens admission while a version is served and its data centre may take requests.
    fn update_admission(&mut self, now: Instant) {
        let open = self.serving.is_some() && self.shared.data_centre_open();
        if open == self.admission_open {
            return;
        }
        self.admission_open = open;
        event!(Info, "admission", open = open);
        let mut admission = lock(&self.shared.admission);
        let dequeued: Vec<Dequeued> = if open {
            admission.ramp.reset(now);
            admission.resume();
            admission.start_waiting(now)
        } else {
            admission.pause(now)
        };
        drop(admission);
        attempt::start_waiting(&self.shared, dequeued);
    }
}
