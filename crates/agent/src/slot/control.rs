//! The control loop: reads the engine, follows the versions named, stages pieces and orders loads.

use {
    crate::{
        shared::lock,
        slot::{fetch, pieces::digest, tables::Slot},
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

/// Interval of reading the engine.
const READ: Duration = Duration::from_millis(50);
/// Time after which an order that was sent can have no effect any more.
const SETTLE: Duration = Duration::from_millis(700);
/// Time before an order in which entry hosts learn that the engine takes no new work.
const NOTICE: Duration = Duration::from_millis(100);
/// Time before a planned order from which entry hosts learn of it, and send only requests that end
/// before it; about as long as most answers take.
const FORESIGHT: Duration = Duration::from_millis(2_500);
/// Reads in a row that fail before the engine counts as silent.
const FAILURES: u32 = 2;
/// Share of a version's pieces from which its fetch is finished although a newer one is named:
/// the engines that load it spread the load of both versions over time.
const WORTH_FINISHING: f64 = 0.6;

/// State of the loop.
pub struct Control {
    slot: Arc<Slot>,
    client: Client,
    loader: Loader,
    /// The version that is loaded next.
    want: Option<Target>,
    /// The version whose pieces are fetched.
    job: Option<(u64, JoinHandle<()>)>,
    /// The fetch of an older version that is taken up again, as the newest one does not come.
    revived: Option<(u64, JoinHandle<()>)>,
    pursuit: Tracker,
    /// Version whose pieces are staged and checked.
    staged: Option<u64>,
    /// An order that the machine wants sent.
    ordered: Option<load::Target>,
    failures: u32,
    /// Time since which entry hosts know that the engine takes no new work.
    closed: Option<Instant>,
}

impl Control {
    /// Creates the loop's state.
    pub fn new(slot: &Arc<Slot>) -> Self {
        Self {
            slot: Arc::clone(slot),
            client: Client::new(slot.engine),
            loader: Loader::new(Machine::new(false, SETTLE)),
            want: None,
            job: None,
            revived: None,
            pursuit: Tracker::default(),
            staged: None,
            ordered: None,
            failures: 0,
            closed: None,
        }
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self) {
        let mut interval = time::interval(READ);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut named = self.slot.named.subscribe();
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                changed = named.changed() => if changed.is_err() { return },
            }
            self.read().await;
            self.follow();
            self.prepare().await;
            self.drive().await;
        }
    }

    /// Reads the engine's state and tells the machine.
    async fn read(&mut self) {
        match self.client.state().await {
            Ok(state) => {
                self.failures = 0;
                self.saw(state);
            }
            Err(cause) => self.unread(&cause),
        }
    }

    fn saw(&mut self, state: State) {
        let mut seen = lock(&self.slot.seen);
        let (before, answered) = (seen.version(), seen.answers);
        seen.answers = true;
        seen.state = Some(state.clone());
        let version = seen.version();
        drop(seen);
        if version != before || !answered {
            event!(
                Info,
                "engine",
                answers = true,
                version = version,
                was = before,
                born_ms = state.started_ms,
                busy = state.loading
            );
            self.slot.news.notify_one();
            self.served(version);
            lock(&self.slot.pieces).loaded(version);
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

    /// Notes how long a version took from its naming.
    fn served(&self, version: u64) {
        let Some(want) = self.want.filter(|w| w.version == version) else {
            return;
        };
        let took = clock::now().saturating_duration_since(want.set_at);
        self.slot.metrics.served.observe(took.as_secs_f64());
    }

    fn unread(&mut self, cause: &Error) {
        self.failures += 1;
        self.slot.metrics.reads_failed.inc();
        if self.failures < FAILURES {
            return;
        }
        let mut seen = lock(&self.slot.seen);
        if !std::mem::replace(&mut seen.answers, false) {
            return;
        }
        drop(seen);
        event!(Warn, "engine", answers = false, reason = cause);
        self.slot.news.notify_one();
    }

    /// Takes up a version that was named.
    fn follow(&mut self) {
        let Some(source) = self.slot.source() else {
            return;
        };
        let Some(newest) = lock(&self.slot.targets).newest(&source.model) else {
            return;
        };
        self.fetch(newest);
        if self.want.is_some_and(|want| !self.yields(want, newest)) {
            return;
        }
        if let Some((_, task)) = self.revived.take() {
            task.abort();
        }
        self.want = Some(newest);
        self.staged = None;
        let version: Box<str> = newest.version.to_string().into();
        let want = load::Target {
            equivalent_versions: BTreeSet::from([version.clone()]),
            version,
            fence: newest.version,
            piece_count: 0,
        };
        event!(Info, "version_wanted", version = newest.version);
        self.handle(&Event::Target(want));
    }

    /// Whether the version wanted so far gives way to the newest one, which is pursued meanwhile.
    fn yields(&mut self, want: Target, newest: Target) -> bool {
        if newest.version <= want.version {
            return false;
        }
        let serves = lock(&self.slot.seen).version();
        if serves >= want.version {
            return true;
        }
        let (held, count) = self.slot.held(newest.version);
        let complete = lock(&self.slot.pieces).complete(want.version);
        let comes = self.pursuit.observe(newest, held, count, clock::now());
        if !comes && !complete && !self.fetches(want.version) {
            self.revive(want, newest, held);
        }
        if count == 0 || held < count {
            return false;
        }
        let skips = || self.turn(want, serves, |turn| turn.should_skip_for(newest));
        !complete && !self.fetches(want.version) || skips()
    }

    fn fetches(&self, version: u64) -> bool {
        let jobs = self.job.iter().chain(&self.revived);
        jobs.into_iter()
            .any(|(of, task)| *of == version && !task.is_finished())
    }

    /// Takes the fetch of an older version up again.
    fn revive(&mut self, want: Target, newest: Target, held: usize) {
        event!(
            Info,
            "fetching_again",
            version = want.version,
            newest = newest.version,
            held = held
        );
        let slot = Arc::clone(&self.slot);
        let task = tokio::spawn(fetch::run(slot, want.version, want.set_at));
        self.revived = Some((want.version, task));
    }

    /// Asks for the turn at loading a version.
    fn turn<T>(&self, next: Target, serves: u64, ask: impl FnOnce(&Turn<'_>) -> T) -> T {
        let settings = &self.slot.settings;
        ask(&Turn {
            host: &settings.host,
            data_centre: &settings.data_centre,
            pool: &self.slot.pool(),
            serving_version: serves,
            target: next,
            cutoff: settings.bounds.rollout_limit,
        })
    }

    /// Fetches the newest version unless the engine serves it or its pieces are held.
    fn fetch(&mut self, newest: Target) {
        let version = newest.version;
        let serves = lock(&self.slot.seen).version() >= version;
        let complete = lock(&self.slot.pieces).complete(version);
        let unread = lock(&self.slot.seen).state.is_none();
        if serves || complete || unread || self.busy_with(version) {
            return;
        }
        if let Some((_, task)) = self.job.take() {
            task.abort();
        }
        lock(&self.slot.pieces).reclaim(version);
        event!(Info, "fetching", version = version);
        let task = tokio::spawn(fetch::run(Arc::clone(&self.slot), version, newest.set_at));
        self.job = Some((version, task));
    }

    /// Whether the running fetch is of this version, or of an older one that is worth finishing.
    fn busy_with(&self, version: u64) -> bool {
        let Some((of, task)) = &self.job else {
            return false;
        };
        let nearly = *of < version && lock(&self.slot.pieces).share(*of) >= WORTH_FINISHING;
        !task.is_finished() && (*of == version || nearly)
    }

    /// Stages the wanted version once its pieces are there, and asks for the turn.
    async fn prepare(&mut self) {
        let Some(want) = self.want else {
            return;
        };
        let serves = lock(&self.slot.seen).version();
        if serves >= want.version || !lock(&self.slot.pieces).complete(want.version) {
            return;
        }
        if self.staged != Some(want.version) || !self.loader.is_complete() {
            if !self.stage(want.version).await {
                return;
            }
            self.staged = Some(want.version);
            let took = clock::now().saturating_duration_since(want.set_at);
            self.slot.metrics.staged.observe(took.as_secs_f64());
            event!(
                Info,
                "staged",
                version = want.version,
                after_ms = took.as_millis()
            );
            self.handle(&Event::Verified(want.version.to_string().into()));
        }
        let due = self.turn(want, serves, |turn| turn.due());
        let now = clock::now();
        let granted = now >= due;
        let planned = serves > 0 && !granted && due < now + FORESIGHT;
        lock(&self.slot.seen).closes = planned.then_some(due);
        self.handle(&Event::Grant(granted));
    }

    /// Puts all pieces into the engine's staging area.
    async fn stage(&mut self, version: u64) -> bool {
        let Some(manifest) = lock(&self.slot.pieces).manifest(version) else {
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
        let Some(source) = self.slot.source() else {
            return false;
        };
        let Some(bytes) = lock(&self.slot.pieces).get(version, index) else {
            return false;
        };
        let staged = self.client.stage_piece(&source.model, index, &bytes).await;
        if let Err(cause) = &staged {
            event!(Warn, "stage_failed", index = index, reason = cause);
        }
        staged.is_ok()
    }

    /// Reads all staged pieces back and replaces those that are not what they should be.
    async fn verify(&mut self, version: u64) -> bool {
        let (Some(source), Some(manifest)) = (
            self.slot.source(),
            lock(&self.slot.pieces).manifest(version),
        ) else {
            return false;
        };
        for (index, expected) in manifest.digests.iter().enumerate() {
            let staged = self.client.staged_piece(&source.model, index).await;
            let sound = match &staged {
                Ok(Some(bytes)) => digest(bytes) == *expected,
                Ok(None) => false,
                Err(cause) => {
                    event!(Warn, "stage_unreadable", index = index, reason = cause);
                    return false;
                }
            };
            if sound {
                continue;
            }
            self.slot.metrics.rotten.inc();
            event!(Warn, "staged_piece_bad", version = version, index = index);
            if !self.stage_piece(version, index).await {
                return false;
            }
        }
        true
    }

    /// Lets the machine act.
    async fn drive(&mut self) {
        let now = clock::now();
        if self.closed.is_some_and(|since| now >= since + NOTICE) {
            self.handle(&Event::Drained);
        }
        let actions = self.loader.handle(&Event::Tick, now);
        self.act(&actions).await;
    }

    /// Hands an event to the machine and carries out what needs no waiting.
    fn handle(&mut self, event: &Event) {
        let actions = self.loader.handle(event, clock::now());
        self.pending(&actions);
    }

    fn pending(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Pause => self.close(true),
                Action::Resume(_) => self.close(false),
                Action::MarkCold | Action::ReadState | Action::Load(_) => {}
            }
        }
        if let Some(Action::Load(want)) = actions.iter().find(|a| matches!(a, Action::Load(_))) {
            self.ordered = Some(want.clone());
        }
    }

    fn close(&mut self, closed: bool) {
        self.closed = closed.then(clock::now);
        let mut seen = lock(&self.slot.seen);
        seen.closed = closed;
        seen.closes = None;
        drop(seen);
        self.slot.news.notify_one();
    }

    async fn act(&mut self, actions: &[Action]) {
        self.pending(actions);
        if let Some(want) = self.ordered.take() {
            let event = self.order(&want).await;
            self.handle(&event);
        }
    }

    /// Checks what is staged and sends the order.
    async fn order(&mut self, want: &load::Target) -> Event {
        let version = want.fence;
        let Some(source) = self.slot.source() else {
            return Event::OrderFailed;
        };
        if !self.verify(version).await {
            self.staged = None;
            return Event::OrderFailed;
        }
        let state = lock(&self.slot.seen).state.clone();
        let after = state.map_or(0, |state| state.accepted_orders);
        self.slot.metrics.orders.inc();
        let ordered = self
            .client
            .load(&source.model, version, after, version)
            .await;
        event!(
            Info,
            "load_ordered",
            version = version,
            after_orders = after,
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
