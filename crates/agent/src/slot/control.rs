//! Control loop: reads the engine's state, follows target versions, stages pieces and orders loads.

use {
    crate::{
        shared::lock,
        slot::{fetch, pieces::sha256, shared::Shared},
    },
    jayspread_core::{
        load::{self, Action, Event, Loader, Machine, Report},
        progress::Tracker,
        schedule::Turn,
        target::Target,
    },
    jayspread_net::{clock, event},
    jayspread_platform::{
        Error,
        engine::{Client, Outcome, State},
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time},
};

/// Interval between reads of the engine's state.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which an order that was sent can no longer take effect.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay between closing the engine to new requests and ordering a load, so that entry hosts learn
/// of it first.
const CLOSE_NOTICE: Duration = Duration::from_millis(100);
/// How far in advance a planned load is announced to entry hosts, which then send only requests
/// that finish before it. About as long as most responses take.
const PLAN_NOTICE: Duration = Duration::from_millis(2_500);
/// Consecutive failed reads after which the engine counts as unresponsive.
const MAX_READ_FAILURES: u32 = 2;
/// Fraction of a version's pieces in memory from which its fetch is finished although a newer
/// version is announced: engines that still load the older one spread the transfers of both over
/// time.
const FINISH_FRACTION: f64 = 0.6;

/// Control loop of one agent.
pub struct Controller {
    shared: Arc<Shared>,
    client: Client,
    loader: Loader,
    /// Version to load next.
    target: Option<Target>,
    /// Fetch of the newest version, or of an older one that is nearly complete.
    fetch_task: Option<(u64, JoinHandle<()>)>,
    /// Fetch of an older version, resumed because the newest one makes no progress.
    resumed_fetch: Option<(u64, JoinHandle<()>)>,
    progress: Tracker,
    /// Version whose pieces are staged at the engine.
    staged_version: Option<u64>,
    /// Load order to send next, as decided by the loader.
    pending_order: Option<load::Target>,
    read_failures: u32,
    /// Time at which the engine was closed to new requests.
    closed_at: Option<Instant>,
}

impl Drop for Controller {
    /// Leaves what the next control loop of this process expects, as a new process does.
    fn drop(&mut self) {
        for (_, task) in self.fetch_task.iter().chain(&self.resumed_fetch) {
            task.abort();
        }
        let mut engine_state = lock(&self.shared.engine_state);
        engine_state.closed_for_load = false;
        engine_state.load_planned_at = None;
    }
}

impl Controller {
    /// Creates the control loop of the agent with this state.
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            client: Client::new(shared.engine_address),
            loader: Loader::new(Machine::new(false, ORDER_TIMEOUT)),
            target: None,
            fetch_task: None,
            resumed_fetch: None,
            progress: Tracker::default(),
            staged_version: None,
            pending_order: None,
            read_failures: 0,
            closed_at: None,
        }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut interval = time::interval(READ_INTERVAL);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut target_updates = self.shared.target_updates.subscribe();
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                changed = target_updates.changed() => if changed.is_err() { return },
            }
            self.read_engine().await;
            self.update_target();
            self.prepare_load().await;
            self.advance().await;
        }
    }

    /// Reads the engine's state and passes it to the loader.
    async fn read_engine(&mut self) {
        match self.client.state().await {
            Ok(state) => {
                self.read_failures = 0;
                self.record_state(state);
            }
            Err(cause) => self.record_failure(&cause),
        }
    }

    fn record_state(&mut self, state: State) {
        let mut engine = lock(&self.shared.engine_state);
        let (previous_version, was_responsive) = (engine.serving_version(), engine.responsive);
        engine.responsive = true;
        engine.latest = Some(state.clone());
        let version = engine.serving_version();
        drop(engine);
        if version != previous_version || !was_responsive {
            event!(
                Info,
                "engine_state_changed",
                answers = true,
                version = version,
                previous_version = previous_version,
                born_ms = state.started_ms,
                busy = state.loading
            );
            self.shared.report_now.notify_one();
            self.record_load_time(version);
            lock(&self.shared.pieces).release(version);
        }
        let serving = (version > 0).then(|| version.to_string().into());
        let report = Report {
            boot_id: state.started_ms,
            serving,
            loading: state.loading,
            fence: version,
        };
        self.handle(&Event::Report(report));
    }

    /// Records the time from the announcement of a version until the engine serves it.
    fn record_load_time(&self, version: u64) {
        let Some(target) = self.target.filter(|target| target.version == version) else {
            return;
        };
        let elapsed = clock::now().saturating_duration_since(target.set_at);
        self.shared
            .metrics
            .served_seconds
            .observe(elapsed.as_secs_f64());
    }

    fn record_failure(&mut self, cause: &Error) {
        self.read_failures += 1;
        self.shared.metrics.state_reads_failed.inc();
        if self.read_failures < MAX_READ_FAILURES {
            return;
        }
        let mut engine = lock(&self.shared.engine_state);
        if !std::mem::replace(&mut engine.responsive, false) {
            return;
        }
        drop(engine);
        event!(
            Warn,
            "engine_state_changed",
            answers = false,
            reason = cause
        );
        self.shared.report_now.notify_one();
    }

    /// Fetches the newest announced version and makes it the load target when due.
    fn update_target(&mut self) {
        let Some(source) = self.shared.weight_source() else {
            return;
        };
        let Some(newest) = lock(&self.shared.targets).newest(&source.model) else {
            return;
        };
        self.start_fetch(newest);
        // Hosts may state a better time of the same version later.
        if let Some(target) = self.target.as_mut()
            && target.version == newest.version
        {
            *target = newest;
            return;
        }
        if self
            .target
            .is_some_and(|target| !self.should_replace(target, newest))
        {
            return;
        }
        if let Some((_, task)) = self.resumed_fetch.take() {
            task.abort();
        }
        self.target = Some(newest);
        self.staged_version = None;
        let version: Box<str> = newest.version.to_string().into();
        let target = load::Target {
            equivalent_versions: BTreeSet::from([version.clone()]),
            version,
            fence: newest.version,
            piece_count: 0,
        };
        event!(Info, "version_wanted", version = newest.version);
        self.handle(&Event::Target(target));
    }

    /// Whether the newest version replaces the current target. Until it does, both may be fetched.
    fn should_replace(&mut self, target: Target, newest: Target) -> bool {
        if newest.version <= target.version {
            return false;
        }
        let serving = lock(&self.shared.engine_state).serving_version();
        if serving >= target.version {
            return true;
        }
        let (held, count) = self.shared.held_piece_count(newest.version);
        let complete = lock(&self.shared.pieces).is_complete(target.version);
        let progressing = self.progress.observe(newest, held, count, clock::now());
        if !progressing && !complete && !self.is_fetching(target.version) {
            self.resume_fetch(target, newest, held);
        }
        if count == 0 || held < count {
            return false;
        }
        let should_skip = || self.with_turn(target, serving, |turn| turn.should_skip_for(newest));
        !complete && !self.is_fetching(target.version) || should_skip()
    }

    fn is_fetching(&self, version: u64) -> bool {
        let fetches = self.fetch_task.iter().chain(&self.resumed_fetch);
        fetches
            .into_iter()
            .any(|(fetched_version, task)| *fetched_version == version && !task.is_finished())
    }

    /// Resumes the fetch of an older version.
    fn resume_fetch(&mut self, target: Target, newest: Target, held: usize) {
        event!(
            Info,
            "fetch_resumed",
            version = target.version,
            newest = newest.version,
            held = held
        );
        let shared = Arc::clone(&self.shared);
        let task = tokio::spawn(fetch::run(shared, target.version, target.set_at));
        self.resumed_fetch = Some((target.version, task));
    }

    /// Evaluates `query` on this engine's turn to load `next`.
    fn with_turn<T>(&self, next: Target, serving: u64, query: impl FnOnce(&Turn<'_>) -> T) -> T {
        let settings = &self.shared.settings;
        query(&Turn {
            host: &settings.host,
            data_centre: &settings.data_centre,
            pool: &self.shared.live_hosts(),
            serving_version: serving,
            target: next,
            cutoff: settings.bounds.rollout_limit,
        })
    }

    /// Starts fetching the newest version unless the engine serves it, all its pieces are in memory,
    /// or the engine's state has not been read yet.
    fn start_fetch(&mut self, newest: Target) {
        let version = newest.version;
        let serving = lock(&self.shared.engine_state).serving_version() >= version;
        let complete = lock(&self.shared.pieces).is_complete(version);
        let state_unknown = lock(&self.shared.engine_state).latest.is_none();
        if serving || complete || state_unknown || self.has_running_fetch(version) {
            return;
        }
        if let Some((_, task)) = self.fetch_task.take() {
            task.abort();
        }
        lock(&self.shared.pieces).reopen(version);
        event!(Info, "fetching", version = version);
        let task = tokio::spawn(fetch::run(Arc::clone(&self.shared), version, newest.set_at));
        self.fetch_task = Some((version, task));
    }

    /// Whether a fetch is running for this version or for an older one that is nearly complete.
    fn has_running_fetch(&self, version: u64) -> bool {
        let Some((fetched_version, task)) = &self.fetch_task else {
            return false;
        };
        let nearly_complete = *fetched_version < version
            && lock(&self.shared.pieces).fraction_held(*fetched_version) >= FINISH_FRACTION;
        !task.is_finished() && (*fetched_version == version || nearly_complete)
    }

    /// Stages the target version once all its pieces are in memory, and tells the loader whether it
    /// is this engine's turn to load.
    async fn prepare_load(&mut self) {
        let Some(target) = self.target else {
            return;
        };
        let serving = lock(&self.shared.engine_state).serving_version();
        if serving >= target.version || !lock(&self.shared.pieces).is_complete(target.version) {
            return;
        }
        if self.staged_version != Some(target.version) || !self.loader.is_complete() {
            if !self.stage(target.version).await {
                return;
            }
            self.staged_version = Some(target.version);
            let elapsed = clock::now().saturating_duration_since(target.set_at);
            self.shared
                .metrics
                .staged_seconds
                .observe(elapsed.as_secs_f64());
            event!(
                Info,
                "staged",
                version = target.version,
                after_ms = elapsed.as_millis()
            );
            self.handle(&Event::Verified(target.version.to_string().into()));
        }
        let due = self.with_turn(target, serving, |turn| turn.due());
        let now = clock::now();
        let granted = now >= due;
        let planned = serving > 0 && !granted && due < now + PLAN_NOTICE;
        lock(&self.shared.engine_state).load_planned_at = planned.then_some(due);
        self.handle(&Event::Grant(granted));
    }

    /// Copies all pieces of a version into the engine's staging area.
    async fn stage(&mut self, version: u64) -> bool {
        let Some(manifest) = lock(&self.shared.pieces).manifest(version) else {
            return false;
        };
        for index in 0..manifest.digests.len() {
            if !self.stage_piece(version, index).await {
                return false;
            }
        }
        true
    }

    async fn stage_piece(&mut self, version: u64, index: usize) -> bool {
        let Some(source) = self.shared.weight_source() else {
            return false;
        };
        let Some(bytes) = lock(&self.shared.pieces).get(version, index) else {
            return false;
        };
        let staged = self.client.stage_piece(&source.model, index, &bytes).await;
        if let Err(cause) = &staged {
            event!(Warn, "stage_failed", index = index, reason = cause);
        }
        staged.is_ok()
    }

    /// Reads all staged pieces back and replaces missing or corrupt ones.
    async fn verify(&mut self, version: u64) -> bool {
        let (Some(source), Some(manifest)) = (
            self.shared.weight_source(),
            lock(&self.shared.pieces).manifest(version),
        ) else {
            return false;
        };
        for (index, expected) in manifest.digests.iter().enumerate() {
            let staged = self.client.staged_piece(&source.model, index).await;
            let valid = match &staged {
                Ok(Some(bytes)) => sha256(bytes) == *expected,
                Ok(None) => false,
                Err(cause) => {
                    event!(
                        Warn,
                        "staged_piece_unreadable",
                        index = index,
                        reason = cause
                    );
                    return false;
                }
            };
            if valid {
                continue;
            }
            self.shared.metrics.staged_corrupt.inc();
            event!(
                Warn,
                "staged_piece_corrupt",
                version = version,
                index = index
            );
            if !self.stage_piece(version, index).await {
                return false;
            }
        }
        true
    }

    /// Advances the loader and performs the resulting actions.
    async fn advance(&mut self) {
        let now = clock::now();
        if self.closed_at.is_some_and(|at| now >= at + CLOSE_NOTICE) {
            self.handle(&Event::Drained);
        }
        let actions = self.loader.handle(&Event::Tick, now);
        self.perform(&actions).await;
    }

    /// Passes an event to the loader and applies the actions that need no I/O.
    fn handle(&mut self, event: &Event) {
        let actions = self.loader.handle(event, clock::now());
        self.apply(&actions);
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Pause => self.set_closed(true),
                Action::Resume(_) => self.set_closed(false),
                Action::MarkCold | Action::ReadState | Action::Load(_) => {}
            }
        }
        if let Some(Action::Load(target)) = actions.iter().find(|a| matches!(a, Action::Load(_))) {
            self.pending_order = Some(target.clone());
        }
    }

    fn set_closed(&mut self, closed: bool) {
        self.closed_at = closed.then(clock::now);
        let mut engine = lock(&self.shared.engine_state);
        engine.closed_for_load = closed;
        engine.load_planned_at = None;
        drop(engine);
        self.shared.report_now.notify_one();
    }

    async fn perform(&mut self, actions: &[Action]) {
        self.apply(actions);
        if let Some(target) = self.pending_order.take() {
            let event = self.send_order(&target).await;
            self.handle(&event);
        }
    }

    /// Verifies the staged pieces and sends the load order.
    async fn send_order(&mut self, target: &load::Target) -> Event {
        let version = target.fence;
        let Some(source) = self.shared.weight_source() else {
            return Event::OrderFailed;
        };
        if !self.verify(version).await {
            self.staged_version = None;
            return Event::OrderFailed;
        }
        let state = lock(&self.shared.engine_state).latest.clone();
        let prior_orders = state.map_or(0, |state| state.accepted_orders);
        self.shared.metrics.load_orders.inc();
        let ordered = self
            .client
            .load(&source.model, version, prior_orders, version)
            .await;
        event!(
            Info,
            "load_ordered",
            version = version,
            after_orders = prior_orders,
            result = match &ordered {
                Ok(ordered) => format!("{ordered:?}"),
                Err(cause) => cause.to_string(),
            }
        );
        match ordered {
            Ok(Outcome::Accepted | Outcome::AlreadyLoaded) => Event::OrderAnswered,
            Ok(Outcome::Conflict | Outcome::Refused(_)) | Err(_) => Event::OrderFailed,
        }
    }
}
