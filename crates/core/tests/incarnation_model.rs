//! Model of hosts that stand still, engines that start again under their ids with any clock, a store
//! that comes back from an older copy, and news in any order: a fact about one process never marks
//! another one whose start differs, and in the end every host uses each ready engine, whatever starts
//! its processes state.

mod engines;

use {
    engines::{Fixture, listing},
    jayspread_core::{
        engine::{
            Listing,
            leaving::{News, TRIAL_INTERVAL},
        },
        id::Started,
        mirror::Position,
        placement::{LISTING_GRACE, Reservation},
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(10);
const HOSTS: usize = 3;
const IDS: [&str; 2] = ["a", "b"];
/// Time after a return of the store for which hosts doubt the processes that were no longer listed.
const DOUBT_TIME: Duration = Duration::from_secs(4);
/// Requests by which a host that chooses at random reaches both engines.
const TRIAL_REQUESTS: usize = 64;
/// Largest number of records that a host reads at once.
const READ_RECORDS: usize = 2;

/// One step of the model; engines and hosts are indices.
#[derive(Debug, Clone)]
enum Step {
    /// The engine ends, if it runs, and starts again under its id.
    Start(usize),
    /// The engine ends without a word.
    End(usize),
    /// The engine ends and its record is removed.
    Remove(usize),
    /// The store removes the record of the engine, which has not reached it for a while.
    Expire(usize),
    /// The engine says in its answers that it leaves.
    Leave(usize),
    /// The engine writes that it drains.
    Drain(usize),
    /// The store comes back from a copy that lacks this number of records.
    Restore(usize),
    /// The engine writes its record again, if the store has another one.
    Beat(usize),
    /// The host sends a request, and the engine answers.
    Send(usize),
    /// The host gets the answer that has been under way for longest.
    Receive(usize),
    /// The host reads some records.
    Read(usize),
    /// The host tells another one which engines leave.
    Tell(usize, usize),
    /// The host handles a message, not always the oldest one.
    Hear(usize, usize),
    /// The host stands still.
    Freeze(usize),
    /// The host goes on.
    Wake(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let engine = 0..IDS.len();
    let host = 0..HOSTS;
    prop_oneof![
        3 => engine.clone().prop_map(Step::Start),
        1 => engine.clone().prop_map(Step::End),
        1 => engine.clone().prop_map(Step::Remove),
        2 => engine.clone().prop_map(Step::Expire),
        3 => engine.clone().prop_map(Step::Leave),
        1 => engine.clone().prop_map(Step::Drain),
        1 => (0_usize..4).prop_map(Step::Restore),
        1 => engine.prop_map(Step::Beat),
        4 => host.clone().prop_map(Step::Send),
        4 => host.clone().prop_map(Step::Receive),
        5 => host.clone().prop_map(Step::Read),
        5 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Tell(from, to)),
        5 => (host.clone(), any::<usize>()).prop_map(|(host, index)| Step::Hear(host, index)),
        1 => host.clone().prop_map(Step::Freeze),
        2 => host.prop_map(Step::Wake),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process {
    started_ms: Started,
    leaving: bool,
    draining: bool,
}

impl Process {
    fn listing(self, engine: usize) -> Listing {
        Listing {
            started_ms: self.started_ms,
            draining: self.draining,
            ..listing(IDS[engine], engine as u8 + 1, "r1")
        }
    }

    fn is_ready(self) -> bool {
        !self.leaving && !self.draining
    }
}

/// A record of the store: an engine's listing, or its removal.
type Record = (usize, Option<Listing>);

struct Host {
    fixture: Fixture,
    is_frozen: bool,
    era: u64,
    offset: usize,
    messages: Vec<Vec<News>>,
    /// Answers under way, whether each says that its engine leaves, and when their requests were sent.
    answers: Vec<(Reservation, bool, Instant)>,
}

/// Starts that the processes of an engine state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stated {
    /// No two starts have the same time, and later ones often have an earlier time.
    Distinct,
    Same,
    Absent,
}

impl Stated {
    /// Start of the process that is the `number`th to start.
    fn start(self, number: u64) -> Started {
        match self {
            Stated::Distinct => Some(number * 7_919 % 10_007),
            Stated::Same => Some(1),
            Stated::Absent => None,
        }
    }
}

struct Model {
    stated: Stated,
    log: Vec<Record>,
    era: u64,
    running: [Option<Process>; IDS.len()],
    starts: u64,
    hosts: Vec<Host>,
}

impl Model {
    fn new(stated: Stated) -> Self {
        let start = Instant::now();
        let host = |_| Host {
            fixture: Fixture {
                now: start,
                ..Fixture::new(&[])
            },
            is_frozen: false,
            era: 0,
            offset: 0,
            messages: Vec::new(),
            answers: Vec::new(),
        };
        Self {
            stated,
            log: Vec::new(),
            era: 0,
            running: [None; IDS.len()],
            starts: 0,
            hosts: (0..HOSTS).map(host).collect(),
        }
    }

    /// What the store has of an engine in the first `end` records.
    fn stored(&self, engine: usize, end: usize) -> Option<Listing> {
        let newest = self.log[..end].iter().rposition(|(of, _)| *of == engine)?;
        self.record(newest)
    }

    /// Listing at an offset of the log; `None` for a removal.
    fn record(&self, offset: usize) -> Option<Listing> {
        let listing = self.log[offset].1.clone()?;
        let position = Position {
            era: self.era,
            offset: offset as u64,
        };
        Some(Listing {
            position,
            ..listing
        })
    }

    /// Writes an engine's record if the store has another one.
    fn write(&mut self, engine: usize) {
        let listing = self.running[engine].map(|process| process.listing(engine));
        let stored = self.stored(engine, self.log.len());
        let stored = stored.map(|listing| Listing {
            position: Position::default(),
            ..listing
        });
        if stored != listing {
            self.log.push((engine, listing));
        }
    }

    fn apply(&mut self, step: &Step) {
        for host in &mut self.hosts {
            host.fixture.now += STEP_TIME;
        }
        match *step {
            Step::Start(engine) => {
                self.starts += 1;
                self.running[engine] = Some(Process {
                    started_ms: self.stated.start(self.starts),
                    leaving: false,
                    draining: false,
                });
                self.write(engine);
            }
            Step::End(engine) => self.running[engine] = None,
            Step::Remove(engine) => {
                self.running[engine] = None;
                self.write(engine);
            }
            Step::Expire(engine) => {
                if self.stored(engine, self.log.len()).is_some() {
                    self.log.push((engine, None));
                }
            }
            Step::Leave(engine) => {
                if let Some(process) = &mut self.running[engine] {
                    process.leaving = true;
                }
            }
            Step::Drain(engine) => {
                if let Some(process) = &mut self.running[engine] {
                    process.draining = true;
                }
                self.write(engine);
            }
            Step::Restore(lost) => {
                self.log.truncate(self.log.len().saturating_sub(lost));
                self.era += 1;
            }
            Step::Beat(engine) => {
                if self.running[engine].is_some() {
                    self.write(engine);
                }
            }
            Step::Freeze(host) => self.hosts[host].is_frozen = true,
            Step::Wake(host) => self.hosts[host].is_frozen = false,
            Step::Send(host) => self.send(host),
            Step::Receive(host) => self.receive(host),
            Step::Read(host) => self.read(host, READ_RECORDS),
            Step::Tell(from, to) => self.tell(from, to),
            Step::Hear(host, index) => self.hear(host, index),
        }
    }

    fn send(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if host.is_frozen {
            return;
        }
        let fixture = &mut host.fixture;
        let requirements = engines::requirements(&fixture.route, &fixture.backend);
        let now = fixture.now;
        let Ok(choice) = fixture.table.choose(&requirements, &mut fixture.rng, now) else {
            return;
        };
        let reservation = choice.reservation;
        let engine = IDS.iter().position(|id| **id == *reservation.id);
        let process = engine.and_then(|engine| self.running[engine]);
        let leaving = process.is_some_and(|process| process.leaving);
        host.answers.push((reservation, leaving, now));
    }

    fn receive(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if host.is_frozen || host.answers.is_empty() {
            return;
        }
        let (reservation, leaving, sent_at) = host.answers.remove(0);
        let (table, now) = (&mut host.fixture.table, host.fixture.now);
        table.apply_leaving(&reservation, leaving, sent_at, now);
        table.release(&reservation, None, now);
    }

    fn read(&mut self, host: usize, count: usize) {
        if self.hosts[host].is_frozen {
            return;
        }
        if self.hosts[host].era < self.era {
            return self.read_copy(host);
        }
        let start = self.hosts[host].offset;
        let end = self.log.len().min(start.saturating_add(count));
        let records: Vec<Record> = (start..end)
            .map(|offset| (self.log[offset].0, self.record(offset)))
            .collect();
        let host = &mut self.hosts[host];
        let (table, now) = (&mut host.fixture.table, host.fixture.now);
        for (engine, listing) in records {
            match listing {
                Some(listing) => {
                    table.add_listing(listing, now);
                }
                None => {
                    table.remove_listing(IDS[engine], None, now);
                }
            }
        }
        host.offset = end;
    }

    /// Reads the list after the store came back from a copy.
    fn read_copy(&mut self, host: usize) {
        let end = self.log.len();
        let stored = [self.stored(0, end), self.stored(1, end)];
        let host = &mut self.hosts[host];
        let (table, now) = (&mut host.fixture.table, host.fixture.now);
        let until = now + DOUBT_TIME;
        for (engine, listing) in stored.into_iter().enumerate() {
            match listing {
                Some(listing) => {
                    table.add_copied_listing(listing, until, now);
                }
                None => {
                    table.remove_listing(IDS[engine], Some(until), now);
                }
            }
        }
        (host.era, host.offset) = (self.era, end);
    }

    fn tell(&mut self, from: usize, to: usize) {
        let teller = &self.hosts[from];
        if teller.is_frozen || from == to {
            return;
        }
        let message = teller.fixture.table.announced_leaving().collect();
        self.hosts[to].messages.push(message);
    }

    fn hear(&mut self, host: usize, index: usize) {
        let host = &mut self.hosts[host];
        if host.is_frozen || host.messages.is_empty() {
            return;
        }
        let message = host.messages.remove(index % host.messages.len());
        for news in &message {
            host.fixture.table.hear_leaving(news);
        }
    }

    /// Checks that no host takes a ready process for one that is leaving, if its start tells it from
    /// the earlier ones.
    fn check_marks(&self) -> Result<(), TestCaseError> {
        if self.stated != Stated::Distinct {
            return Ok(());
        }
        for (number, host) in self.hosts.iter().enumerate() {
            for engine in host.fixture.table.iter() {
                let index = IDS.iter().position(|id| **id == *engine.listing.id);
                let running = index.and_then(|index| self.running[index]);
                let same = running.filter(|p| p.started_ms == engine.listing.started_ms);
                let is_ready = same.is_some_and(Process::is_ready);
                prop_assert!(
                    !is_ready || !engine.is_leaving(),
                    "host {number} marks {:?}",
                    engine.listing
                );
            }
        }
        Ok(())
    }

    /// Lets all hosts go on and all news arrive, while engines do nothing more than to keep their
    /// records.
    fn settle(&mut self) {
        for host in 0..HOSTS {
            self.hosts[host].is_frozen = false;
        }
        for engine in 0..IDS.len() {
            self.write(engine);
        }
        for host in 0..HOSTS {
            // The first may only reach the era of the store.
            self.read(host, usize::MAX);
            self.read(host, usize::MAX);
        }
        for _ in 0..2 {
            for host in 0..HOSTS {
                while !self.hosts[host].answers.is_empty() {
                    self.receive(host);
                }
                for to in 0..HOSTS {
                    self.tell(host, to);
                }
            }
            for host in 0..HOSTS {
                while !self.hosts[host].messages.is_empty() {
                    self.hear(host, 0);
                }
            }
        }
        for host in &mut self.hosts {
            let fixture = &mut host.fixture;
            fixture.now += DOUBT_TIME.max(LISTING_GRACE);
            fixture.table.remove_expired(fixture.now);
            fixture.table.list_doubted(fixture.now);
        }
    }

    /// Lets each host try all engines that are said to leave.
    fn try_leaving(&mut self) {
        for host in 0..HOSTS {
            self.hosts[host].fixture.now += TRIAL_INTERVAL;
            for _ in 0..TRIAL_REQUESTS {
                self.send(host);
                self.receive(host);
            }
        }
    }

    /// Checks that all hosts list what runs, and use what is ready.
    fn check_use(&self) -> Result<(), TestCaseError> {
        let running = self.running.iter().zip(IDS);
        let running: BTreeMap<&str, Process> = running
            .filter_map(|(process, id)| Some((id, (*process)?)))
            .collect();
        for host in &self.hosts {
            let listed = host.fixture.table.iter();
            let listed: BTreeMap<&str, _> = listed
                .map(|e| (&*e.listing.id, (e.listing.started_ms, e.is_leaving())))
                .collect();
            prop_assert_eq!(listed.len(), running.len());
            for (id, process) in &running {
                let (started_ms, is_leaving) = listed[id];
                prop_assert_eq!(started_ms, process.started_ms);
                prop_assert!(is_leaving || !process.draining);
                prop_assert!(!is_leaving || !process.is_ready());
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8_192, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn facts_hold_for_one_process_and_ready_engines_are_used(
        steps in proptest::collection::vec(step(), 1..120),
        stated in prop_oneof![
            2 => Just(Stated::Distinct),
            1 => Just(Stated::Same),
            1 => Just(Stated::Absent),
        ],
    ) {
        let mut model = Model::new(stated);
        for step in &steps {
            model.apply(step);
            model.check_marks()?;
        }
        model.settle();
        model.check_marks()?;
        if stated != Stated::Distinct {
            model.try_leaving();
        }
        model.check_use()?;
    }
}
