//! Tests of the copy of a store topic: late responses, restarts of the store from an older copy, and
//! hosts that get their records from each other.
//!
//! `JAYSPREAD_WALK_STEPS=5000000 cargo test -p jayspread-core --test mirror walk -- --nocapture`
//! walks longer.

use {
    bytes::Bytes,
    jayspread_core::mirror::{Applied, Batch, HOLD_TIME, Mirror, Position, Record},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

fn value(text: &str) -> Option<Bytes> {
    Some(Bytes::copy_from_slice(text.as_bytes()))
}

fn record(key: &str, text: Option<&str>, offset: u64) -> Record {
    Record {
        key: key.into(),
        value: text.and_then(value),
        offset,
    }
}

fn batch(era: u64, end: u64, complete: bool, records: &[Record]) -> Batch {
    Batch {
        records: records.to_vec(),
        start: Position { era, offset: 0 },
        end: Position { era, offset: end },
        complete,
    }
}

/// Values of the key `config` are numbers, of which a smaller one is older.
fn is_older(key: &str, value: &Bytes, other: &Bytes) -> bool {
    let number = |bytes: &Bytes| {
        let text = std::str::from_utf8(bytes).expect("a number");
        text.parse::<u64>().expect("a number")
    };
    key == "config" && number(value) < number(other)
}

/// A mirror and the time.
struct Host {
    mirror: Mirror,
    now: Instant,
}

impl Host {
    fn new(records: &[Record], end: u64) -> Self {
        let mut host = Self {
            mirror: Mirror::default(),
            now: Instant::now(),
        };
        host.apply(batch(0, end, true, records));
        host
    }

    fn apply(&mut self, batch: Batch) -> Applied {
        self.mirror.apply(batch, is_older, self.now)
    }

    fn get(&self, key: &str) -> Option<String> {
        let mut values = self.mirror.values();
        let found = values.find(|(known, _)| ***known == *key);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }
}

#[test]
fn late_response_of_an_earlier_era_changes_nothing() {
    let mut host = Host::new(&[record("a", Some("1"), 0)], 9);
    host.apply(batch(1, 3, true, &[record("a", Some("2"), 1)]));
    let late = host.apply(batch(0, 10, false, &[record("a", Some("3"), 9)]));
    assert_eq!(late, Applied::default());
    let late = host.apply(batch(0, 12, true, &[]));
    assert_eq!(late, Applied::default());
    assert_eq!(host.get("a").as_deref(), Some("2"));
}

/// Offsets are given out again after a restart from a copy. A record at an offset below the known one
/// of its key is new all the same.
#[test]
fn record_written_again_below_the_known_offset_is_applied() {
    let mut host = Host::new(&[record("a", Some("1"), 8)], 9);
    host.apply(batch(1, 4, true, &[record("a", Some("0"), 2)]));
    let applied = host.apply(batch(1, 5, false, &[record("a", Some("4"), 4)]));
    assert_eq!(applied.changes.len(), 1);
    assert_eq!(host.get("a").as_deref(), Some("4"));
    assert_eq!(host.mirror.next(), Some(Position { era: 1, offset: 5 }));
}

#[test]
fn partial_response_of_a_later_era_asks_for_all_records() {
    let mut host = Host::new(&[record("a", Some("1"), 0)], 1);
    let news = batch(1, 2, false, &[record("b", Some("1"), 1)]);
    assert!(host.mirror.needs_complete(news.end));
    assert_eq!(host.apply(news), Applied::default());
    assert_eq!(host.get("b"), None);
    assert_eq!(host.mirror.next(), Some(Position { era: 0, offset: 1 }));
}

#[test]
fn older_configuration_of_the_copy_does_not_come_into_force() {
    let mut host = Host::new(&[record("config", Some("7"), 5)], 6);
    let applied = host.apply(batch(1, 3, true, &[record("config", Some("6"), 2)]));
    assert!(applied.new_era && applied.changes.is_empty());
    assert_eq!(host.get("config").as_deref(), Some("7"));
    // A host that starts now gets the newer one from this host.
    let from = Position::default();
    let mut other = Host::new(&[], 0);
    other.apply(batch(1, 3, true, &[record("config", Some("6"), 1)]));
    other.apply(host.mirror.batch(from).expect("has records"));
    assert_eq!(other.get("config").as_deref(), Some("7"));
    host.apply(batch(1, 4, false, &[record("config", Some("8"), 3)]));
    assert_eq!(host.get("config").as_deref(), Some("8"));
}

#[test]
fn key_that_the_copy_lacks_stays_in_force_until_the_bound() {
    let mut host = Host::new(&[record("evacuate/a", Some("x"), 5)], 6);
    let applied = host.apply(batch(1, 3, true, &[]));
    assert!(applied.changes.is_empty());
    assert_eq!(host.get("evacuate/a").as_deref(), Some("x"));
    // Neither a later list nor the time just before the bound ends it.
    host.apply(batch(1, 4, true, &[]));
    host.now += HOLD_TIME - Duration::from_millis(1);
    assert!(host.mirror.expire_held(host.now).is_empty());
    assert!(host.get("evacuate/a").is_some());
    host.now += Duration::from_millis(1);
    assert_eq!(host.mirror.expire_held(host.now).len(), 1);
    assert_eq!(host.get("evacuate/a"), None);
}

#[test]
fn key_that_is_written_again_or_removed_is_not_held() {
    let records = [record("a", Some("x"), 5), record("b", Some("y"), 6)];
    let mut host = Host::new(&records, 7);
    host.apply(batch(1, 2, true, &[]));
    let again = [record("a", Some("x"), 2), record("b", None, 3)];
    host.apply(batch(1, 4, false, &again));
    host.now += HOLD_TIME * 2;
    assert!(host.mirror.expire_held(host.now).is_empty());
    assert_eq!(host.get("a").as_deref(), Some("x"));
    assert_eq!(host.get("b"), None);
}

/// A list of the newest records shows that a key was removed; the first record after the list sets it
/// again.
#[test]
fn key_set_again_right_after_a_list_without_it_is_present() {
    let mut host = Host::new(&[record("a", Some("1"), 2)], 3);
    host.apply(batch(0, 7, true, &[]));
    assert_eq!(host.get("a"), None);
    host.apply(batch(0, 8, false, &[record("a", Some("2"), 7)]));
    assert_eq!(host.get("a").as_deref(), Some("2"));
}

/// A host that has read a list does not know which keys were removed before. It gives a peer that is
/// further behind all records, so that the peer drops them.
#[test]
fn peer_learns_of_removals_before_the_list_that_a_host_has_read() {
    let mut behind = Host::new(&[record("a", Some("1"), 2)], 3);
    let ahead = Host::new(&[record("b", Some("1"), 6)], 8);
    let from = behind.mirror.next().expect("has records");
    behind.apply(ahead.mirror.batch(from).expect("has records"));
    assert_eq!(behind.get("a"), None);
    assert_eq!(behind.get("b").as_deref(), Some("1"));
}

/// A store that restarts from copies, and what the operator wants to be in force.
struct Store {
    era: u64,
    log: Vec<(Box<str>, Option<Bytes>)>,
    copies: Vec<usize>,
    /// What the operator has written last, by key.
    wanted: BTreeMap<Box<str>, Option<Bytes>>,
    /// Keys to be written again after a restart.
    lost: Vec<Box<str>>,
    revision: u64,
}

impl Store {
    fn newest(&self) -> Batch {
        let mut latest: BTreeMap<&str, (u64, &Option<Bytes>)> = BTreeMap::new();
        for (offset, (key, value)) in self.log.iter().enumerate() {
            latest.insert(key, (offset as u64, value));
        }
        let present = latest.into_iter().filter(|(_, (_, value))| value.is_some());
        let records = present.map(|(key, (offset, value))| Record {
            key: key.into(),
            value: value.clone(),
            offset,
        });
        Batch {
            records: records.collect(),
            start: Position::default(),
            end: self.end(),
            complete: true,
        }
    }

    fn read(&self, from: u64) -> Option<Batch> {
        let start = Position {
            era: self.era,
            offset: from,
        };
        let from = usize::try_from(from).expect("small");
        if from > self.log.len() {
            return None;
        }
        let records = self.log[from..].iter().zip(from as u64..);
        let records = records.map(|((key, value), offset)| Record {
            key: key.clone(),
            value: value.clone(),
            offset,
        });
        Some(Batch {
            records: records.collect(),
            start,
            end: self.end(),
            complete: false,
        })
    }

    fn end(&self) -> Position {
        Position {
            era: self.era,
            offset: self.log.len() as u64,
        }
    }

    fn write(&mut self, key: &str, value: Option<Bytes>) {
        self.wanted.insert(key.into(), value.clone());
        self.lost.retain(|lost| **lost != *key);
        self.log.push((key.into(), value));
    }

    fn restart_from_copy(&mut self, length: usize) {
        for (key, _) in self.log.split_off(length) {
            if !self.lost.contains(&key) {
                self.lost.push(key);
            }
        }
        self.era += 1;
        self.copies.retain(|copy| *copy <= length);
    }

    fn write_again(&mut self) {
        for key in std::mem::take(&mut self.lost) {
            let value = self.wanted[&key].clone();
            self.log.push((key, value));
        }
    }
}

/// Walks over writes, restarts of the store, late and repeated responses, exchanges between hosts and
/// restarts of hosts. No running host goes back to an older configuration, and all agree with the
/// operator once everything is written again.
fn walk(seed: u64, steps: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut store = Store {
        era: 0,
        log: Vec::new(),
        copies: Vec::new(),
        wanted: BTreeMap::new(),
        lost: Vec::new(),
        revision: 0,
    };
    let mut hosts: Vec<Host> = (0..4).map(|_| Host::new(&[], 0)).collect();
    let mut delayed: Vec<Batch> = Vec::new();
    let mut now = hosts[0].now;
    for step in 0..steps {
        now += Duration::from_millis(rng.random_range(0..50));
        match rng.random_range(0..100) {
            0..20 => {
                store.revision += 1;
                let value = value(&store.revision.to_string());
                store.write("config", value);
            }
            20..30 => {
                let key = format!("evacuate/{}", rng.random_range(0..3));
                let is_active = rng.random_bool(0.5);
                store.write(&key, is_active.then(|| Bytes::from_static(b"x")));
            }
            30..33 => store.copies.push(store.log.len()),
            33 => {
                if let Some(length) = store.copies.pop() {
                    store.restart_from_copy(length);
                }
            }
            34..38 => store.write_again(),
            38..55 => {
                let host = &mut hosts[rng.random_range(0..4)];
                host.now = now;
                exchange_with_store(host, &store, &mut delayed, &mut rng);
            }
            55..70 if !delayed.is_empty() => {
                let batch = delayed.swap_remove(rng.random_range(0..delayed.len()));
                apply(&mut hosts[rng.random_range(0..4)], batch);
            }
            70..90 => {
                let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
                if from != to {
                    exchange(&mut hosts, from, to);
                }
            }
            90..92 => {
                let host = &mut hosts[rng.random_range(0..4)];
                host.mirror = Mirror::default();
            }
            _ => {}
        }
        if delayed.len() > 20 {
            delayed.clear();
        }
        if step % 500 == 499 {
            // Keep the log short, as the store does.
            settle(&mut store, &mut hosts, seed, step);
        }
    }
}

fn revision(host: &Host) -> u64 {
    host.get("config").map_or(0, |r| r.parse().expect("number"))
}

/// Applies a batch and checks that the configuration does not go back.
fn apply(host: &mut Host, batch: Batch) {
    let (before, era) = (revision(host), host.mirror.next().map(|next| next.era));
    host.apply(batch);
    assert!(revision(host) >= before, "{before} to {}", revision(host));
    assert!(host.mirror.next().map(|next| next.era) >= era);
}

fn exchange_with_store(host: &mut Host, store: &Store, delayed: &mut Vec<Batch>, rng: &mut StdRng) {
    let from = host.mirror.next().unwrap_or_default();
    let response = match host.mirror.next() {
        Some(_) => store.read(from.offset),
        None => None,
    };
    let response = response.filter(|batch| !host.mirror.needs_complete(batch.end));
    let batch = response.unwrap_or_else(|| store.newest());
    if rng.random_bool(0.2) {
        delayed.push(batch.clone());
    }
    if rng.random_bool(0.9) {
        apply(host, batch);
    }
}

/// `to` fetches the records that `from` has and it lacks.
fn exchange(hosts: &mut [Host], from: usize, to: usize) {
    let position = hosts[to].mirror.next().unwrap_or_default();
    if let Some(batch) = hosts[from].mirror.batch(position) {
        apply(&mut hosts[to], batch);
    }
}

/// Everything is written again and read; all hosts then agree with the operator.
fn settle(store: &mut Store, hosts: &mut [Host], seed: u64, step: u64) {
    store.write_again();
    for host in hosts.iter_mut() {
        let from = host.mirror.next().unwrap_or_default().offset;
        let response = store.read(from);
        let response = response.filter(|batch| !host.mirror.needs_complete(batch.end));
        apply(host, response.unwrap_or_else(|| store.newest()));
        host.now += HOLD_TIME;
        host.mirror.expire_held(host.now);
        for (key, value) in &store.wanted {
            let expected = value
                .as_ref()
                .map(|value| String::from_utf8_lossy(value).into_owned());
            assert_eq!(host.get(key), expected, "{key}, seed {seed}, step {step}");
        }
    }
    let wanted = std::mem::take(&mut store.wanted);
    store.log.clear();
    store.copies.clear();
    store.era += 1;
    for (key, value) in wanted {
        store.write(&key, value);
    }
    for host in hosts {
        host.mirror = Mirror::default();
        host.apply(store.newest());
    }
}

#[test]
fn walk_over_eras_late_responses_and_restarts() {
    let steps = std::env::var("JAYSPREAD_WALK_STEPS");
    let steps: u64 = steps.ok().and_then(|s| s.parse().ok()).unwrap_or(200_000);
    for seed in 0..4 {
        walk(seed, steps / 4);
    }
}
