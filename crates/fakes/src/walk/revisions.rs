//! Random walk through configuration: racing operators, log truncation, checkpoints and peers.

use {
    crate::bundle,
    ed25519_dalek::SigningKey,
    jayspread_core::id::Revision,
    jayspread_entry::{
        log::Entry,
        projection::{Outcome, Projection},
    },
    jayspread_schema::config::{Record, change::Kind, record},
    prost::Message,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Number of processes, which read the log or pull from each other.
const PROCESS_COUNT: usize = 5;
/// Data centres and their regions.
const DATA_CENTRES: [(&str, &str); 3] = [("a", "ra"), ("b", "rb"), ("c", "rc")];

/// Counters of a walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Steps taken.
    pub steps: u64,
    /// Changes appended.
    pub changes: u64,
    /// Changes accepted.
    pub accepted: u64,
    /// Checkpoints appended.
    pub checkpoints: u64,
    /// Processes replaced by new ones with empty state.
    pub replaced: u64,
    /// Records dropped by the log.
    pub truncated: u64,
}

/// Configuration of one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Snapshot {
    version: Option<Box<str>>,
    drained: Vec<Box<str>>,
}

struct Simulation {
    rng: SmallRng,
    key: SigningKey,
    unknown_key: SigningKey,
    log: Vec<bytes::Bytes>,
    first_offset: usize,
    /// State of each process, as applied from the log or pulled from a peer.
    processes: Vec<Projection>,
    /// Configuration of each revision in the first process that reached it.
    snapshots: BTreeMap<Revision, Snapshot>,
    stats: Stats,
}

/// Runs a walk of `steps` steps determined by `seed`.
pub fn run(seed: u64, steps: u64) -> Stats {
    let key = SigningKey::from_bytes(&[3; 32]);
    let operators = [key.verifying_key().to_bytes()];
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(seed),
        key,
        unknown_key: SigningKey::from_bytes(&[4; 32]),
        log: Vec::new(),
        first_offset: 0,
        processes: (0..PROCESS_COUNT)
            .map(|_| Projection::new(operators))
            .collect(),
        snapshots: BTreeMap::new(),
        stats: Stats::default(),
    };
    for _ in 0..steps {
        simulation.step();
    }
    simulation.stats.steps = steps;
    simulation.stats
}

impl Simulation {
    fn step(&mut self) {
        let process = self.rng.random_range(0..PROCESS_COUNT);
        match self.rng.random_range(0..100) {
            0..20 => self.append_change(process),
            20..75 => self.read_log(process),
            75..90 => self.pull_from_peer(process),
            90..95 => self.append_checkpoint(process),
            95..97 => self.truncate_log(),
            _ => self.replace_process(process),
        }
        self.check_snapshot(process);
    }

    /// Appends a change made from the revision that a process knows, sometimes with an unknown key.
    fn append_change(&mut self, process: usize) {
        let config = &self.processes[process].config;
        let base = config.revision();
        let (data_centre, _) = DATA_CENTRES[self.rng.random_range(0..DATA_CENTRES.len())];
        let kind = match self.rng.random_range(0..4) {
            0 => {
                let version = format!("v{}", self.rng.random::<u32>());
                Kind::Roll(bundle::bundle(
                    &version,
                    Vec::new(),
                    Vec::new(),
                    &DATA_CENTRES,
                ))
            }
            1 => Kind::DataCentreOut(data_centre.to_owned()),
            2 => Kind::DataCentreIn(data_centre.to_owned()),
            _ => {
                let version = config
                    .bundles()
                    .next()
                    .map(|bundle| bundle.version.to_string());
                Kind::RollBack(version.unwrap_or_default())
            }
        };
        let forged = self.rng.random_bool(0.05);
        let key = if forged { &self.unknown_key } else { &self.key };
        let record = bundle::encode_record(bundle::sign_change(key, base, kind));
        self.stats.changes += 1;
        let duplicated = self.rng.random_bool(0.1);
        self.log.push(record.clone());
        if duplicated {
            self.log.push(record);
        }
    }

    fn read_log(&mut self, process: usize) {
        let count = self.rng.random_range(1..6);
        for _ in 0..count {
            let projection = &mut self.processes[process];
            if (projection.next_offset as usize) < self.first_offset {
                projection.skip_to(self.first_offset as u64);
            }
            let Some(bytes) = self.log.get(projection.next_offset as usize) else {
                return;
            };
            let entry = Entry {
                offset: projection.next_offset,
                bytes: bytes.clone(),
            };
            let before = projection.config.revision();
            let outcome = projection.apply(&entry);
            assert!(
                projection.config.revision() >= before,
                "the revision of a process decreased"
            );
            if let Outcome::Accepted(..) = outcome {
                self.stats.accepted += 1;
            }
        }
    }

    /// A process takes the configuration from a random other one.
    fn pull_from_peer(&mut self, process: usize) {
        let peer = self.rng.random_range(0..PROCESS_COUNT);
        let peer_config = self.processes[peer].config.clone();
        let config = &mut self.processes[process].config;
        let before = config.revision();
        match peer_config.changes_since(before) {
            Some(changes) => {
                for change in &changes {
                    config
                        .apply_accepted(change)
                        .expect("accepted changes follow each other");
                }
            }
            None => {
                config
                    .apply_checkpoint(&peer_config.checkpoint())
                    .expect("checkpoints are valid");
            }
        }
        assert!(
            config.revision() >= before,
            "the revision of a process decreased"
        );
    }

    fn append_checkpoint(&mut self, process: usize) {
        let Some(checkpoint) = self.processes[process].make_checkpoint() else {
            return;
        };
        let record = Record {
            kind: Some(record::Kind::Checkpoint(checkpoint)),
        };
        self.log.push(record.encode_to_vec().into());
        self.stats.checkpoints += 1;
    }

    /// Drops old records from the log, after appending a checkpoint of the newest state, as the
    /// platform's retention does.
    fn truncate_log(&mut self) {
        let newest =
            (0..PROCESS_COUNT).max_by_key(|process| self.processes[*process].config.revision());
        let process = newest.expect("there are processes");
        while (self.processes[process].next_offset as usize) < self.log.len() {
            self.read_log(process);
        }
        self.append_checkpoint(process);
        let retained = self
            .rng
            .random_range(1..30)
            .min(self.log.len() - self.first_offset);
        let first_offset = self.log.len() - retained;
        self.stats.truncated += (first_offset - self.first_offset) as u64;
        self.first_offset = first_offset;
    }

    fn replace_process(&mut self, process: usize) {
        self.processes[process] = Projection::new([self.key.verifying_key().to_bytes()]);
        self.stats.replaced += 1;
    }

    /// Checks that a revision has the same configuration in all processes, however they reached it.
    fn check_snapshot(&mut self, process: usize) {
        let state = self.processes[process].config.state();
        let version = state.bundle.as_ref().map(|b| b.version.clone());
        let drained: Vec<Box<str>> = state.drained.iter().cloned().collect();
        let snapshot = Snapshot { version, drained };
        let expected = self
            .snapshots
            .entry(state.revision)
            .or_insert_with(|| snapshot.clone());
        assert_eq!(
            *expected, snapshot,
            "two states of revision {}",
            state.revision
        );
    }
}
