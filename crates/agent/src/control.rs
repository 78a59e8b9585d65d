//! The control loop: follows the configuration, drives load orders, opens and closes admission.

use {
    crate::{
        engine::Place,
        fetch::Job,
        shared::{Shared, lock},
        work,
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

/// Interval of the loop.
const TICK: Duration = Duration::from_millis(50);
/// Interval of reading an engine that serves.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// State of the loop.
pub struct Control {
    shared: Arc<Shared>,
    job: Option<(Arc<Job>, JoinHandle<()>)>,
    fence: Revision,
    roster: u64,
    read_at: Option<Instant>,
    /// Last state that the engine reported.
    seen: Option<Report>,
    /// Version that the engine may serve, as the loader says.
    serves: Option<Version>,
    open: bool,
}

impl Drop for Control {
    fn drop(&mut self) {
        if let Some((_, task)) = &self.job {
            task.abort();
        }
    }
}

impl Control {
    /// Creates the loop's state.
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            job: None,
            fence: 0,
            roster: 0,
            read_at: None,
            seen: None,
            serves: None,
            open: false,
        }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut interval = time::interval(TICK);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.shared.wake.notified() => {}
            }
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let now = clock::now();
        if self.shared.settings.backend.kind == Kind::Engine {
            self.follow(now);
            self.drive(now).await;
        } else {
            self.serves = Some("".into());
        }
        self.gate(now);
        let (turns, released) = lock(&self.shared.admit).tick(now);
        work::start_turns(&self.shared, turns);
        let mut answers = lock(&self.shared.answers);
        for request in released {
            answers.remove(&request);
        }
        drop(answers);
        self.shared.peers.tidy(now);
    }

    /// Takes up a new version or a new roster, once the engine's state is known.
    fn follow(&mut self, now: Instant) {
        if self.seen.is_none() {
            return;
        }
        let (state, roster) = {
            let config = lock(&self.shared.config);
            (config.fold.state(), config.roster)
        };
        if state.fence != self.fence {
            self.fence = state.fence;
            self.take_up(&state, now);
        }
        self.fetch(&state);
        if roster != self.roster {
            self.roster = roster;
            if let Some((job, _)) = &self.job {
                job.roster_changed();
            }
        }
    }

    fn take_up(&mut self, state: &State, now: Instant) {
        if let Some((_, task)) = self.job.take() {
            task.abort();
        }
        let Some(bundle) = &state.bundle else {
            return;
        };
        if bundle.pieces(self.shared.service()).is_empty() {
            return;
        }
        let want = self.want(bundle, state.fence);
        event!(
            Info,
            "version_wanted",
            version = want.version,
            fence = want.fence
        );
        lock(&self.shared.loader).handle(&Event::Target(want), now);
    }

    /// Starts fetching when the engine lacks what is wanted and no fetch runs.
    fn fetch(&mut self, state: &State) {
        if self
            .job
            .as_ref()
            .is_some_and(|(_, task)| !task.is_finished())
        {
            return;
        }
        let needed = {
            let loader = lock(&self.shared.loader);
            let serving = self
                .seen
                .as_ref()
                .and_then(|report| report.serving.as_ref());
            let same =
                |want: &Target| serving.is_some_and(|v| want.equivalent_versions.contains(v));
            loader.target().is_some_and(|want| !same(want)) && !loader.is_complete()
        };
        if !needed {
            return;
        }
        let Some(bundle) = &state.bundle else {
            return;
        };
        let bundle = Arc::clone(bundle);
        self.job = Some(Job::start(&self.shared, bundle, self.present()));
    }

    fn want(&self, bundle: &Bundle, fence: Revision) -> Target {
        let service = self.shared.service();
        let content = bundle.content_digest(service);
        let config = lock(&self.shared.config);
        let same = config
            .fold
            .bundles()
            .filter(|b| b.content_digest(service) == content);
        Target {
            version: bundle.version.clone(),
            fence,
            piece_count: bundle.pieces(service).len(),
            equivalent_versions: same.map(|b| b.version.clone()).collect(),
        }
    }

    /// Chunks of the version that the engine serves.
    fn present(&self) -> BTreeMap<ChunkHash, Place> {
        let Some(version) = self
            .seen
            .as_ref()
            .and_then(|report| report.serving.as_ref())
        else {
            return BTreeMap::new();
        };
        let config = lock(&self.shared.config);
        let bundle = config.fold.bundles().find(|b| b.version == *version);
        let Some(bundle) = bundle else {
            return BTreeMap::new();
        };
        let pieces = bundle.pieces(self.shared.service());
        let places = pieces.iter().map(|p| (p.hash, Place::new(version, p)));
        places.collect()
    }

    /// Feeds the loader and carries out its actions.
    async fn drive(&mut self, now: Instant) {
        let granted = self.granted();
        let drained = lock(&self.shared.admit).running() == 0;
        let mut actions = Vec::new();
        {
            let mut loader = lock(&self.shared.loader);
            actions.extend(loader.handle(&Event::Grant(granted), now));
            if drained {
                actions.extend(loader.handle(&Event::Drained, now));
            }
            if self.due(loader.state(), now) {
                self.read_at = Some(now);
                actions.extend(loader.handle(&Event::Tick, now));
            }
        }
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            if let Some(event) = self.act(action, now).await {
                let more = lock(&self.shared.loader).handle(&event, clock::now());
                actions.extend(more);
            }
        }
    }

    fn due(&self, state: &load::State, now: Instant) -> bool {
        let interval = match state {
            load::State::Serving { .. } => READ_INTERVAL,
            _ => TICK,
        };
        self.read_at.is_none_or(|at| now >= at + interval)
    }

    fn granted(&self) -> bool {
        let wanted = lock(&self.shared.loader)
            .target()
            .map(|w| w.version.clone());
        let Some(wanted) = wanted else {
            return false;
        };
        lock(&self.shared.grants).allows(&wanted)
    }

    async fn act(&mut self, action: Action, now: Instant) -> Option<Event> {
        match action {
            Action::Pause => {
                self.serves = None;
                self.gate(now);
                None
            }
            Action::Resume(version) => {
                event!(Info, "version_served", version = version);
                *lock(&self.shared.served) = version.clone();
                self.serves = Some(version);
                None
            }
            Action::MarkCold => {
                self.chill(now);
                None
            }
            Action::Load(want) => Some(self.order(want).await),
            Action::ReadState => {
                let report = self.shared.engine.state().await.ok()?;
                self.seen = Some(report.clone());
                Some(Event::Report(report))
            }
        }
    }

    async fn order(&self, want: Target) -> Event {
        let running = lock(&self.shared.admit).running();
        assert_eq!(running, 0, "an engine loads only when no attempt runs");
        self.shared.metrics.orders.inc();
        event!(
            Info,
            "load_ordered",
            version = want.version,
            fence = want.fence
        );
        match self.shared.engine.order(want).await {
            Ok(()) => Event::OrderAnswered,
            Err(cause) => {
                event!(Warn, "load_order_lost", reason = cause);
                Event::OrderFailed
            }
        }
    }

    fn chill(&self, now: Instant) {
        self.shared.metrics.chilled.inc();
        let ramp: &mut Ramp = &mut lock(&self.shared.admit).ramp;
        ramp.reset(now);
    }

    /// Opens admission while a complete version is served and the data centre is not out.
    fn gate(&mut self, now: Instant) {
        let open = self.serves.is_some() && self.shared.data_centre_open();
        if open == self.open {
            return;
        }
        self.open = open;
        event!(Info, "admission", open = open);
        let mut admit = lock(&self.shared.admit);
        let turns: Vec<Dequeued> = if open {
            admit.ramp.reset(now);
            admit.resume();
            admit.start_waiting(now)
        } else {
            admit.pause(now)
        };
        drop(admit);
        work::start_turns(&self.shared, turns);
    }
}
