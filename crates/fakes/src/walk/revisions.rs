//! Walk through configuration: racing operators, truncation, checkpoints and peers.

use {
    crate::bundle,
    ed25519_dalek::SigningKey,
    jayspread_core::id::Revision,
    jayspread_entry::{
        journal::{Journal, Outcome},
        log::Entry as Line,
    },
    jayspread_schema::config::{Record, change::Kind, record},
    prost::Message,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Processes that follow the log or each other.
const PROCESSES: usize = 5;
/// Data centres.
const PLACES: [(&str, &str); 3] = [("a", "ra"), ("b", "rb"), ("c", "rc")];

/// Stats of a walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Steps made.
    pub steps: u64,
    /// Changes appended.
    pub changes: u64,
    /// Changes accepted.
    pub accepted: u64,
    /// Checkpoints appended.
    pub checkpoints: u64,
    /// Processes replaced.
    pub replaced: u64,
    /// Records dropped by the log.
    pub truncated: u64,
}

/// Configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    version: Option<Box<str>>,
    out: Vec<Box<str>>,
}

struct World {
    rng: SmallRng,
    key: SigningKey,
    forger: SigningKey,
    log: Vec<bytes::Bytes>,
    first: usize,
    processes: Vec<Journal>,
    /// State that each revision has, as the first process to reach it saw it.
    history: BTreeMap<Revision, Seen>,
    figures: Stats,
}

/// Walks `steps` steps from `seed`.
pub fn run(seed: u64, steps: u64) -> Stats {
    let key = SigningKey::from_bytes(&[3; 32]);
    let operators = [key.verifying_key().to_bytes()];
    let mut world = World {
        rng: SmallRng::seed_from_u64(seed),
        key,
        forger: SigningKey::from_bytes(&[4; 32]),
        log: Vec::new(),
        first: 0,
        processes: (0..PROCESSES).map(|_| Journal::new(operators)).collect(),
        history: BTreeMap::new(),
        figures: Stats::default(),
    };
    for _ in 0..steps {
        world.step();
    }
    world.figures.steps = steps;
    world.figures
}

impl World {
    fn step(&mut self) {
        let process = self.rng.random_range(0..PROCESSES);
        match self.rng.random_range(0..100) {
            0..20 => self.change(process),
            20..75 => self.read(process),
            75..90 => self.pull(process),
            90..95 => self.checkpoint(process),
            95..97 => self.truncate(),
            _ => self.replace(process),
        }
        self.check(process);
    }

    /// An operator signs a change from what one process knows, or someone forges one.
    fn change(&mut self, process: usize) {
        let fold = &self.processes[process].fold;
        let base = fold.revision();
        let (name, _) = PLACES[self.rng.random_range(0..PLACES.len())];
        let kind = match self.rng.random_range(0..4) {
            0 => {
                let version = format!("v{}", self.rng.random::<u32>());
                Kind::Roll(bundle::bundle(&version, Vec::new(), Vec::new(), &PLACES))
            }
            1 => Kind::DataCentreOut(name.to_owned()),
            2 => Kind::DataCentreIn(name.to_owned()),
            _ => {
                let version = fold.bundles().next().map(|b| b.version.to_string());
                Kind::RollBack(version.unwrap_or_default())
            }
        };
        let forged = self.rng.random_bool(0.05);
        let key = if forged { &self.forger } else { &self.key };
        let record = bundle::encode_record(bundle::sign_change(key, base, kind));
        self.figures.changes += 1;
        let twice = self.rng.random_bool(0.1);
        self.log.push(record.clone());
        if twice {
            self.log.push(record);
        }
    }

    fn read(&mut self, process: usize) {
        let pages = self.rng.random_range(1..6);
        for _ in 0..pages {
            let journal = &mut self.processes[process];
            if (journal.next as usize) < self.first {
                journal.truncated(self.first as u64);
            }
            let Some(bytes) = self.log.get(journal.next as usize) else {
                return;
            };
            let line = Line {
                offset: journal.next,
                bytes: bytes.clone(),
            };
            let before = journal.fold.revision();
            let outcome = journal.apply(&line);
            assert!(journal.fold.revision() >= before, "a revision went down");
            if let Outcome::Accepted(..) = outcome {
                self.figures.accepted += 1;
            }
        }
    }

    /// One process takes configuration from another.
    fn pull(&mut self, process: usize) {
        let other = self.rng.random_range(0..PROCESSES);
        let theirs = self.processes[other].fold.clone();
        let ours = &mut self.processes[process].fold;
        let before = ours.revision();
        match theirs.changes_since(before) {
            Some(changes) => {
                for accepted in &changes {
                    ours.apply_accepted(accepted)
                        .expect("accepted changes follow each other");
                }
            }
            None => {
                ours.apply_checkpoint(&theirs.checkpoint())
                    .expect("checkpoints are sound");
            }
        }
        assert!(ours.revision() >= before, "a revision went down");
    }

    fn checkpoint(&mut self, process: usize) {
        let Some(checkpoint) = self.processes[process].write_checkpoint() else {
            return;
        };
        let record = Record {
            kind: Some(record::Kind::Checkpoint(checkpoint)),
        };
        self.log.push(record.encode_to_vec().into());
        self.figures.checkpoints += 1;
    }

    /// The log drops old records, but keeps a checkpoint of the newest state, as retention does.
    fn truncate(&mut self) {
        let newest = (0..PROCESSES).max_by_key(|p| self.processes[*p].fold.revision());
        let process = newest.expect("there are processes");
        while (self.processes[process].next as usize) < self.log.len() {
            self.read(process);
        }
        self.checkpoint(process);
        let keep = self
            .rng
            .random_range(1..30)
            .min(self.log.len() - self.first);
        let first = self.log.len() - keep;
        self.figures.truncated += (first - self.first) as u64;
        self.first = first;
    }

    fn replace(&mut self, process: usize) {
        self.processes[process] = Journal::new([self.key.verifying_key().to_bytes()]);
        self.figures.replaced += 1;
    }

    /// Equal revisions have equal states, whichever way they were reached.
    fn check(&mut self, process: usize) {
        let state = self.processes[process].fold.state();
        let version = state.bundle.as_ref().map(|b| b.version.clone());
        let out: Vec<Box<str>> = state.drained.iter().cloned().collect();
        let seen = Seen { version, out };
        let known = self
            .history
            .entry(state.revision)
            .or_insert_with(|| seen.clone());
        assert_eq!(*known, seen, "revision {} has two states", state.revision);
    }
}
