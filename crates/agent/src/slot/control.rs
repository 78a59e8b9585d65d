//! Control loop: reads the engine's state, follows target versions, stages pieces and orders loads.

mod staging;

use {
    crate::{
        shared::lock,
        slot::{fetch, shared::Shared},
    },
    jayspread_core::{
        clamp,
        fetch::{self as policy, Count, End, Lane, Selector, View},
        load::{self, Action, Event, Loader, Machine, Report},
        schedule::{self, Turn},
        target::Target,
    },
    jayspread_net::{clock, event},
    jayspread_platform::{
        Error,
        engine::{Client, Outcome, State},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
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
/// Change of the time of a planned load from which it is logged again.
const TURN_LOG_STEP: Duration = Duration::from_millis(500);
/// Consecutive failed reads after which the engine counts as unresponsive.
const MAX_READ_FAILURES: u32 = 2;
/// Control loop of one agent.
pub struct Controller {
    shared: Arc<Shared>,
    client: Client,
    loader: Loader,
    /// Decides what is fetched and loaded.
    selector: Selector,
    /// Running fetches with their versions.
    fetches: BTreeMap<Lane, (u64, JoinHandle<End>)>,
    /// Version whose pieces are staged at the engine.
    staged_version: Option<u64>,
    /// Pieces of the target version that have been staged so far.
    staged_pieces: BTreeSet<usize>,
    /// Version that was last staged, and the time at which it first was.
    first_staged: Option<(u64, Instant)>,
    /// Version and time of the last turn that was logged.
    logged_turn: Option<(u64, Instant)>,
    /// Load order to send next, as decided by the loader.
    pending_order: Option<load::Target>,
    read_failures: u32,
    /// Time at which the engine was closed to new requests.
    closed_at: Option<Instant>,
}

/// Evaluates `query` on this engine's turn to load `next`, whose pieces were staged at `staged_at`.
fn with_turn<T>(
    shared: &Shared,
    next: Target,
    serving: u64,
    staged_at: Instant,
    query: impl FnOnce(&Turn<'_>) -> T,
) -> T {
    let settings = &shared.settings;
    let model = shared.weight_source().map(|source| source.model);
    let limit = settings.bounds.rollout_limit;
    let bounds = model.map_or_else(Vec::new, |model| {
        lock(&shared.targets).bounds(&model, limit)
    });
    // An engine that skipped a version must stop serving its own when the time for that one ends.
    let newer = bounds.iter().filter(|bound| bound.version > serving);
    let until = newer.map(|bound| bound.until).min();
    query(&Turn {
        host: &settings.host,
        data_centre: &settings.data_centre,
        pool: &shared.live_hosts(),
        serving_version: serving,
        target: next,
        staged_at,
        until: until.unwrap_or_else(|| clamp::later(next.set_at, limit)),
    })
}

impl Drop for Controller {
    /// Leaves what the next control loop of this process expects, as a new process does.
    fn drop(&mut self) {
        for (_, task) in self.fetches.values() {
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
            selector: Selector::default(),
            fetches: BTreeMap::new(),
            staged_version: None,
            staged_pieces: BTreeSet::new(),
            first_staged: None,
            logged_turn: None,
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
            self.finish_fetches().await;
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
        let target = self.selector.target();
        let Some(target) = target.filter(|target| target.version == version) else {
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

    /// Records the fetches that have ended by themselves.
    async fn finish_fetches(&mut self) {
        let finished: Vec<Lane> = self
            .fetches
            .iter()
            .filter(|(_, (_, task))| task.is_finished())
            .map(|(lane, _)| *lane)
            .collect();
        for lane in finished {
            let Some((version, task)) = self.fetches.remove(&lane) else {
                continue;
            };
            let end = task.await.unwrap_or_else(|cause| {
                event!(Error, "fetch_task_failed", reason = cause);
                End::Dropped
            });
            event!(Info, "fetch_ended", version = version, reason = end);
            self.selector.finish(lane, end, clock::now());
        }
    }

    /// Carries out what the selector decides for the newest announced version.
    fn update_target(&mut self) {
        let Some(source) = self.shared.weight_source() else {
            return;
        };
        let Some(newest) = lock(&self.shared.targets).newest(&source.model) else {
            return;
        };
        let engine = lock(&self.shared.engine_state).clone();
        let own: BTreeMap<u64, Count> = lock(&self.shared.pieces).counts().collect();
        let received = lock(&self.shared.pieces).received();
        let target = self.selector.target().map_or(0, |target| target.version);
        let view = View {
            serving: engine.latest.as_ref().map(|_| engine.serving_version()),
            own: &own,
            fleet: self.shared.held_piece_count(newest.version),
            fleet_of_target: self.shared.held_piece_count(target),
            received: &received,
            link_time: self.shared.piece_time(newest.version),
            now: clock::now(),
        };
        let shared = &self.shared;
        let expected = schedule::expected_staging(newest, view.fleet, view.now);
        let first_staged = self.first_staged;
        let skips = |target: Target| {
            let staged = first_staged.filter(|(version, _)| *version == target.version);
            let staged_at = staged.map_or(view.now, |(_, at)| at);
            let serving = engine.serving_version();
            with_turn(shared, target, serving, staged_at, |turn| {
                expected.is_some_and(|at| turn.should_skip_for(at))
            })
        };
        for action in self.selector.step(newest, &view, skips) {
            match action {
                policy::Action::Start(lane, version) => self.start_fetch(lane, version, &view),
                policy::Action::Keep(version) => {
                    if let Some(fetch) = self.fetches.remove(&Lane::Newest) {
                        self.fetches.insert(Lane::Target, fetch);
                    }
                    self.log_outlook("kept", version, "worth_it");
                }
                policy::Action::Stop(lane, version, end) => self.stop_fetch(lane, version, end),
                policy::Action::Aim(target) => self.aim(target),
            }
        }
        let needed = self.selector.needed_versions(newest.version);
        lock(&self.shared.pieces).retain(&needed);
    }

    fn start_fetch(&mut self, lane: Lane, target: Target, view: &View<'_>) {
        event!(
            Info,
            "fetching",
            version = target.version,
            lane = format!("{lane:?}"),
            fleet_held = view.fleet.held
        );
        if lane == Lane::Target {
            let reason = match self.selector.outlook().newest_stalled {
                true => "newest_stalled",
                false => "worth_it",
            };
            self.log_outlook("started", target.version, reason);
        }
        lock(&self.shared.pieces).reopen(target.version);
        let shared = Arc::clone(&self.shared);
        let task = tokio::spawn(fetch::run(shared, target.version, target.set_at));
        self.fetches.insert(lane, (target.version, task));
    }

    fn stop_fetch(&mut self, lane: Lane, version: u64, end: End) {
        event!(Info, "fetch_ended", version = version, reason = end);
        if lane == Lane::Target {
            self.log_outlook("ended", version, &end.to_string());
        }
        if let Some((_, task)) = self.fetches.remove(&lane) {
            task.abort();
        }
        lock(&self.shared.pieces).end_fetch(version, end);
    }

    /// Logs why a fetch of an older version starts, goes on or ends.
    fn log_outlook(&self, change: &str, version: u64, reason: &str) {
        let outlook = self.selector.outlook();
        event!(
            Info,
            "older_version",
            version = version,
            change = change,
            reason = reason,
            newest_stalled = outlook.newest_stalled,
            newest_ms = outlook.newest.as_millis(),
            target_ms = outlook.target.as_millis(),
            origin_ms = outlook.origin.as_millis()
        );
    }

    /// Makes a version the load target.
    fn aim(&mut self, target: Target) {
        self.forget_staged();
        let version: Box<str> = target.version.to_string().into();
        event!(Info, "version_wanted", version = target.version);
        self.handle(&Event::Target(load::Target {
            equivalent_versions: BTreeSet::from([version.clone()]),
            version,
            fence: target.version,
            piece_count: 0,
        }));
    }

    /// Forgets what is staged, so that all pieces are staged again.
    fn forget_staged(&mut self) {
        self.staged_version = None;
        self.staged_pieces.clear();
    }

    /// Stages the pieces of the target version. Once all are staged, tells the loader whether it is
    /// this engine's turn to load.
    async fn prepare_load(&mut self) {
        let Some(target) = self.selector.target() else {
            return;
        };
        let serving = lock(&self.shared.engine_state).serving_version();
        let is_complete = lock(&self.shared.pieces).is_complete(target.version);
        // Other agents may still get the pieces of the version that the engine serves from its staging
        // area. An engine that serves none stages pieces as they arrive.
        if serving >= target.version || serving > 0 && !is_complete {
            return;
        }
        if self.staged_version != Some(target.version) || !self.loader.is_complete() {
            if self.staged_version == Some(target.version) {
                // The engine has restarted since.
                self.forget_staged();
            }
            if !self.loader.allows_staging() || !self.stage(target.version).await {
                return;
            }
            self.staged_version = Some(target.version);
            let now = clock::now();
            let is_first = self.first_staged.is_none_or(|(v, _)| v != target.version);
            if is_first {
                self.first_staged = Some((target.version, now));
            }
            let elapsed = now.saturating_duration_since(target.set_at);
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
        let now = clock::now();
        let staged_at = self.first_staged.map_or(now, |(_, at)| at);
        let (due, until, position) = with_turn(&self.shared, target, serving, staged_at, |turn| {
            (turn.due(), turn.until, turn.position())
        });
        self.log_turn(target.version, due, until, position);
        let granted = now >= due;
        let planned = serving > 0 && !granted && due < now + PLAN_NOTICE;
        lock(&self.shared.engine_state).load_planned_at = planned.then_some(due);
        self.handle(&Event::Grant(granted));
    }

    /// Logs when this engine's turn is due, again when that has changed noticeably.
    fn log_turn(&mut self, version: u64, due: Instant, until: Instant, position: f64) {
        let is_known = self.logged_turn.is_some_and(|(logged, at)| {
            let change = due.max(at).duration_since(due.min(at));
            logged == version && change < TURN_LOG_STEP
        });
        if is_known {
            return;
        }
        self.logged_turn = Some((version, due));
        let now = clock::now();
        let in_ms = |at: Instant| at.saturating_duration_since(now).as_millis();
        event!(
            Info,
            "load_turn",
            version = version,
            due_in_ms = in_ms(due),
            older_end_in_ms = in_ms(until),
            position_percent = (position * 100.0) as u32
        );
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
        if !self.verify_recently(version).await {
            self.forget_staged();
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
