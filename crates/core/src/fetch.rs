//! Which versions an agent fetches, when each fetch ends, and which version its engine loads next.
//!
//! The newest version is always fetched. The target, which the engine loads next, may be an older one
//! that came first. Its bytes share the origin's link and those of the hosts with the newest version,
//! so that they are moved only if, at the measured rates, the engine could serve the target sooner
//! than the newest version would be complete, or while the newest version makes no progress. Every
//! fetch ends: with all pieces, once its version can't be had any more or isn't needed, when pieces
//! contradict its manifest, or after a time without a new piece.

use {
    crate::{chunk::Source, id::ChunkHash, progress::Tracker, target::Target},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        time::{Duration, Instant},
    },
};

/// Time without a byte after which a fetch ends.
pub const STALL_LIMIT: Duration = Duration::from_secs(10);
/// Time without a new piece after which the fetch of an older version ends while the newest one
/// progresses.
pub const PRIORITY_LIMIT: Duration = Duration::from_secs(2);
/// Time after the end of a fetch from which the same version may be fetched again.
pub const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time after the origin's first refusal of a version within which other agents can report that they
/// hold its pieces.
pub const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Share of the newest version's time at the origin that an older version may add to it. The origin
/// then sends all of the newest one at most this much later, for all engines.
const ORIGIN_SHARE: f64 = 0.25;
/// The same for an older version whose fetch runs, so that small changes of the measured rates do not
/// end it.
const RUNNING_ORIGIN_SHARE: f64 = 0.4;
/// Factor by which the transfers of an older version take longer beside those of the newest one.
const SHARED_LINK: f64 = 2.0;

/// Number of a version's pieces that are held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Pieces held.
    pub held: usize,
    /// Pieces of the version; 0 while its manifest is unknown.
    pub total: usize,
}

impl Count {
    /// Whether all pieces are held.
    pub fn is_complete(self) -> bool {
        self.total > 0 && self.held >= self.total
    }

    fn missing(self) -> u32 {
        (self.total - self.held.min(self.total)) as u32
    }
}

/// State of the agent and of the fleet at one time.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Version that the engine serves, 0 for none; `None` until its state has been read.
    pub serving: Option<u64>,
    /// Pieces in the memory of this agent, by version.
    pub own: &'a BTreeMap<u64, Count>,
    /// Pieces of the newest version that any agent holds.
    pub fleet: Count,
    /// Pieces of the target that any agent holds.
    pub fleet_of_target: Count,
    /// Time at which a part of a piece last reached this agent, by version.
    pub received: &'a BTreeMap<u64, Instant>,
    /// Time that a transfer of one piece from another agent takes.
    pub link_time: Duration,
    /// Time of this state.
    pub now: Instant,
}

impl View<'_> {
    fn own(&self, version: u64) -> Count {
        self.own.get(&version).copied().unwrap_or_default()
    }
}

/// Fetches that may run at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Of the newest version.
    Newest,
    /// Of the target, if that is an older version.
    Target,
}

/// Reason for which a fetch ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// All pieces are held.
    Complete,
    /// The origin no longer has the version, and no agent has the missing pieces.
    Gone,
    /// Pieces contradict the manifest, which is to be obtained again.
    Contradicted,
    /// No new piece has come for a time.
    Stalled,
    /// No new piece has come for a time while a newer version progresses.
    Yielded,
    /// A newer version will be complete, or loaded, about as soon.
    Superseded,
    /// The version was dropped from memory, or its source has changed to another model.
    Dropped,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            End::Complete => "complete",
            End::Gone => "gone",
            End::Contradicted => "contradicted",
            End::Stalled => "stalled",
            End::Yielded => "yielded",
            End::Superseded => "superseded",
            End::Dropped => "dropped",
        })
    }
}

/// Decision to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start fetching a version.
    Start(Lane, Target),
    /// Stop the fetch of a version.
    Stop(Lane, u64, End),
    /// The running fetch in lane [`Lane::Newest`] goes on in lane [`Lane::Target`], since a newer
    /// version has been announced.
    Keep(u64),
    /// Load this version next.
    Aim(Target),
}

/// Whether a version can still be had.
#[derive(Debug, Clone, Copy, Default)]
pub struct Supply {
    refused_at: Option<Instant>,
}

impl Supply {
    /// Records that the origin no longer has the version.
    pub fn refuse(&mut self, now: Instant) {
        self.refused_at.get_or_insert(now);
    }

    /// Records that the origin has the version.
    pub fn confirm(&mut self) {
        self.refused_at = None;
    }

    /// Whether the version can't be had any more, if no agent is known that holds what is missing.
    pub fn is_gone(&self, now: Instant) -> bool {
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) >= REPORT_TIME)
    }
}

/// How far the manifest of a version is relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Trust {
    /// Nothing speaks against it.
    #[default]
    Sound,
    /// A fetch has stalled with it. The next one replaces it if the origin has another, and else uses
    /// it: without a manifest no agent could give its pieces to others. A manifest of another agent
    /// does not replace it, as it may be the wrong one of the two.
    Stale,
    /// Pieces contradict it: it is neither used nor passed on.
    Contradicted,
}

impl Trust {
    /// Trust after a fetch of the version has ended.
    pub fn after(self, end: End) -> Self {
        match (self, end) {
            (_, End::Contradicted) => Trust::Contradicted,
            (Trust::Sound, End::Stalled) => Trust::Stale,
            (trust, _) => trust,
        }
    }

    /// Whether the manifest is used and passed on.
    pub fn is_usable(self) -> bool {
        match self {
            Trust::Sound | Trust::Stale => true,
            Trust::Contradicted => false,
        }
    }
}

/// Pieces that do not fit a manifest.
///
/// Bytes that were changed on their way, or at their holder, differ from one transfer to another. The
/// same bytes from two sources, or twice from the origin, show that the manifest is wrong.
#[derive(Debug, Clone, Default)]
pub struct Doubt {
    /// Digest of the last piece from each source that did not fit, by index and source.
    received: BTreeMap<usize, BTreeMap<Source, ChunkHash>>,
}

impl Doubt {
    /// Records the digest of a piece that does not fit. Returns whether the manifest is
    /// contradicted.
    pub fn record(&mut self, index: usize, source: &Source, digest: ChunkHash) -> bool {
        let received = self.received.entry(index).or_default();
        let is_contradicted = received.iter().any(|(other, previous)| {
            *previous == digest && (other != source || *source == Source::Origin)
        });
        received.insert(source.clone(), digest);
        is_contradicted
    }
}

/// A running fetch.
#[derive(Debug, Clone, Copy)]
struct Run {
    version: u64,
    held: usize,
    /// Time of the last new piece, or of the start.
    grown_at: Instant,
}

impl Run {
    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.grown_at)
    }
}

/// When the target and the newest version are expected to be complete at this agent. An older target
/// is fetched by this.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Whether the newest version makes no progress.
    pub newest_stalled: bool,
    /// Time until the newest version is complete, if it gets all links.
    pub newest: Duration,
    /// Time until the target is complete, if it gets all links.
    pub target: Duration,
    /// Time of the origin's link that the target needs.
    pub origin: Duration,
}

impl Outlook {
    fn favours_target(&self, is_running: bool) -> bool {
        let (link, share) = match is_running {
            true => (1.0, RUNNING_ORIGIN_SHARE),
            false => (SHARED_LINK, ORIGIN_SHARE),
        };
        self.target.mul_f64(link) < self.newest && self.origin < self.newest.mul_f64(share)
    }
}

/// Fetches and target of one agent.
#[derive(Debug, Default)]
pub struct Selector {
    target: Option<Target>,
    runs: BTreeMap<Lane, Run>,
    progress: Tracker,
    outlook: Outlook,
    /// Newest version that could not be had any more.
    gone: u64,
    /// Ends of the last fetches, by version.
    ended: BTreeMap<u64, Instant>,
}

impl Selector {
    /// Version to load next.
    pub fn target(&self) -> Option<Target> {
        self.target
    }

    /// What the last decision on an older target follows from.
    pub fn outlook(&self) -> Outlook {
        self.outlook
    }

    /// Versions whose pieces are needed in memory.
    pub fn needed_versions(&self, newest: u64) -> BTreeSet<u64> {
        let runs = self.runs.values().map(|run| run.version);
        let target = self.target.map(|target| target.version);
        runs.chain(target).chain([newest]).collect()
    }

    /// Records that a fetch has ended by itself.
    pub fn finish(&mut self, lane: Lane, end: End, now: Instant) {
        let Some(run) = self.runs.remove(&lane) else {
            return;
        };
        self.ended.insert(run.version, now);
        if end == End::Gone {
            self.gone = self.gone.max(run.version);
        }
    }

    /// Decides what to fetch and to load, given the newest announced version. `skips` states whether
    /// the engine should leave out the target, in its turn, for the newest version.
    pub fn step(
        &mut self,
        newest: Target,
        view: &View<'_>,
        skips: impl Fn(Target) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for run in self.runs.values_mut() {
            let held = view.own(run.version).held;
            if held > run.held {
                run.grown_at = view.now;
            }
            run.held = held;
        }
        self.look_ahead(newest, view);
        self.make_way(newest, view, &skips, &mut actions);
        for lane in [Lane::Newest, Lane::Target] {
            if let Some(end) = self.reason_to_stop(lane, newest, view, &skips) {
                self.stop(lane, end, view.now, &mut actions);
            }
        }
        self.start_newest(newest, view, &mut actions);
        if self.should_aim(newest, view, &skips, &mut actions) {
            self.stop(Lane::Target, End::Superseded, view.now, &mut actions);
            self.target = Some(newest);
            actions.push(Action::Aim(newest));
        }
        let needed = self.needed_versions(newest.version);
        self.ended.retain(|version, _| needed.contains(version));
        actions
    }

    fn stop(&mut self, lane: Lane, end: End, now: Instant, actions: &mut Vec<Action>) {
        if let Some(run) = self.runs.remove(&lane) {
            self.ended.insert(run.version, now);
            actions.push(Action::Stop(lane, run.version, end));
        }
    }

    fn start(&mut self, lane: Lane, target: Target, view: &View<'_>, actions: &mut Vec<Action>) {
        let run = Run {
            version: target.version,
            held: view.own(target.version).held,
            grown_at: view.now,
        };
        self.runs.insert(lane, run);
        actions.push(Action::Start(lane, target));
    }

    fn may_start(&self, version: u64, now: Instant) -> bool {
        let is_running = self.runs.values().any(|run| run.version == version);
        let ended_at = self.ended.get(&version);
        !is_running && ended_at.is_none_or(|at| now >= *at + RESTART_DELAY)
    }

    /// Observes the newest version, and estimates when it and the target will be complete.
    fn look_ahead(&mut self, newest: Target, view: &View<'_>) {
        let received_at = view.received.get(&newest.version).copied();
        let Count { held, total } = view.fleet;
        let now = view.now;
        let progresses =
            self.progress
                .observe_with(newest, held, total, view.link_time, received_at, now);
        let piece_time = self.progress.piece_time(now);
        let time = |own: Count, fleet: Count| {
            let from_origin = piece_time * fleet.missing();
            (from_origin.max(view.link_time * own.missing()), from_origin)
        };
        let target = self.target.map_or(0, |target| target.version);
        let (mut of_target, origin) = time(view.own(target), view.fleet_of_target);
        if let Some(run) = self.runs.get(&Lane::Target) {
            // A piece that has not come for a time is expected to take as long again.
            of_target = of_target.max(run.silence(now));
        }
        // Before its manifest is known, the newest version counts as long as the target.
        let or_target = |count: Count| match count.total {
            0 => Count {
                held: 0,
                total: view.own(target).total,
            },
            _ => count,
        };
        let (of_newest, _) = time(or_target(view.own(newest.version)), or_target(view.fleet));
        self.outlook = Outlook {
            newest_stalled: !progresses,
            newest: of_newest,
            target: of_target,
            origin,
        };
    }

    /// Whether the bytes of an older target are worth moving. Engines whose turn at the target comes
    /// late leave it to the others, but as long as the origin has not sent all of it, all agents
    /// decide alike: each of them brings pieces to the others.
    fn is_worth_fetching(&self, view: &View<'_>, skips: &impl Fn(Target) -> bool) -> bool {
        let Some(target) = self.target else {
            return false;
        };
        let is_spread = self.outlook.origin.is_zero() && view.fleet_of_target.total > 0;
        let is_left_out = is_spread && view.serving.is_some_and(|v| v > 0) && skips(target);
        let is_running = self.runs.values().any(|run| run.version == target.version);
        view.own(target.version).total > 0
            && !is_left_out
            && self.outlook.favours_target(is_running)
    }

    /// Leaves the first lane to a newly announced version. The fetch that is there goes on if that of
    /// the target is worth it.
    fn make_way(
        &mut self,
        newest: Target,
        view: &View<'_>,
        skips: &impl Fn(Target) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get(&Lane::Newest).copied() else {
            return;
        };
        if run.version >= newest.version {
            return;
        }
        let is_target = self
            .target
            .is_some_and(|target| target.version == run.version);
        if is_target && self.is_worth_fetching(view, skips) {
            self.runs.remove(&Lane::Newest);
            self.runs.insert(Lane::Target, run);
            actions.push(Action::Keep(run.version));
        } else {
            self.stop(Lane::Newest, End::Superseded, view.now, actions);
        }
    }

    fn reason_to_stop(
        &self,
        lane: Lane,
        newest: Target,
        view: &View<'_>,
        skips: &impl Fn(Target) -> bool,
    ) -> Option<End> {
        let run = self.runs.get(&lane)?;
        let received_at = view.received.get(&run.version).copied();
        let active_at = received_at.unwrap_or(run.grown_at).max(run.grown_at);
        if view.now.saturating_duration_since(active_at) >= STALL_LIMIT {
            return Some(End::Stalled);
        }
        if run.version >= newest.version {
            return None;
        }
        if view.own(newest.version).is_complete() {
            return Some(End::Superseded);
        }
        if self.outlook.newest_stalled {
            return None;
        }
        if run.silence(view.now) >= PRIORITY_LIMIT {
            return Some(End::Yielded);
        }
        (!self.is_worth_fetching(view, skips)).then_some(End::Superseded)
    }

    /// Starts fetching the newest version unless the engine serves it, all its pieces are in memory,
    /// or the engine's state has not been read yet.
    fn start_newest(&mut self, newest: Target, view: &View<'_>, actions: &mut Vec<Action>) {
        let is_needed = view.serving.is_some_and(|serving| serving < newest.version)
            && !view.own(newest.version).is_complete();
        if is_needed
            && !self.runs.contains_key(&Lane::Newest)
            && self.may_start(newest.version, view.now)
        {
            self.start(Lane::Newest, newest, view, actions);
        }
    }

    /// Whether the newest version becomes the target. Until it does, both may be fetched.
    fn should_aim(
        &mut self,
        newest: Target,
        view: &View<'_>,
        skips: &impl Fn(Target) -> bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(target) = self.target else {
            return true;
        };
        if newest.version == target.version {
            // Hosts may state a better time of the same version later.
            self.target = Some(newest);
            return false;
        }
        if newest.version < target.version {
            return false;
        }
        if view.serving.unwrap_or(0) >= target.version {
            return true;
        }
        if view.own(target.version).is_complete() {
            return view.fleet.is_complete() && skips(target);
        }
        if target.version <= self.gone || view.own(newest.version).is_complete() {
            return true;
        }
        let is_wanted = self.outlook.newest_stalled || self.is_worth_fetching(view, skips);
        if is_wanted && self.may_start(target.version, view.now) {
            self.start(Lane::Target, target, view, actions);
        }
        let is_running = self.runs.values().any(|run| run.version == target.version);
        view.fleet.is_complete() && (!is_running || skips(target))
    }
}
