//! A steady load of repeatable requests, with the share answered in time by phase.

use {
    crate::site::{self, histogram, micros},
    hdrhistogram::Histogram,
    jayspread_fakes::caller::{Caller, Request},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU8, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time},
};

/// Longest wait of a caller.
const CALLER_MAX: Duration = Duration::from_secs(20);
/// Tokens of an answer.
const TOKENS: usize = 5;

/// Phase in which a request is sent, after the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// While the data centre is out.
    During = 1,
    /// After it has returned.
    After,
}

/// Requests in one second: answered in time, and sent.
pub type Second = (u64, u64);

struct Tally {
    phases: [(u64, u64); 3],
    seconds: Vec<Second>,
    latencies: Histogram<u64>,
    cut_off: u64,
    refused: u64,
}

/// Figures of a load.
pub struct Figures {
    /// Share answered in time before, during and after.
    pub shares: [f64; 3],
    /// Requests by second.
    pub seconds: Vec<Second>,
    /// Answers cut off or wrong.
    pub cut_off: u64,
    /// Requests refused.
    pub refused: u64,
    /// 99th percentile of whole answers, milliseconds.
    pub p99_ms: f64,
}

/// A running load.
pub struct Load {
    stop: Arc<AtomicBool>,
    phase: Arc<AtomicU8>,
    tally: Arc<Mutex<Tally>>,
    task: JoinHandle<()>,
}

impl Load {
    /// Sends `rate` requests a second over the entry hosts in turn.
    pub fn start(entries: Vec<SocketAddr>, rate: u64, in_time: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let phase = Arc::new(AtomicU8::new(0));
        let tally = Arc::new(Mutex::new(Tally {
            phases: [(0, 0); 3],
            seconds: Vec::new(),
            latencies: histogram(),
            cut_off: 0,
            refused: 0,
        }));
        let run = Run {
            callers: entries
                .into_iter()
                .map(|e| Caller::new(e, CALLER_MAX))
                .collect(),
            stop: Arc::clone(&stop),
            phase: Arc::clone(&phase),
            tally: Arc::clone(&tally),
            in_time,
        };
        let task = tokio::spawn(run.run(rate));
        Self {
            stop,
            phase,
            tally,
            task,
        }
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Stops and gives the figures.
    pub async fn stop(self) -> Figures {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.task.await;
        let tally = self.tally.lock().expect("no panic holds the lock");
        let share = |(good, sent): (u64, u64)| good as f64 / sent.max(1) as f64;
        Figures {
            shares: tally.phases.map(share),
            seconds: tally.seconds.clone(),
            cut_off: tally.cut_off,
            refused: tally.refused,
            p99_ms: tally.latencies.value_at_quantile(0.99) as f64 / 1000.0,
        }
    }
}

struct Run {
    callers: Vec<Caller>,
    stop: Arc<AtomicBool>,
    phase: Arc<AtomicU8>,
    tally: Arc<Mutex<Tally>>,
    in_time: Duration,
}

impl Run {
    async fn run(self, rate: u64) {
        let began = Instant::now();
        let mut interval = time::interval(Duration::from_secs_f64(1.0 / rate as f64));
        let mut tasks = Vec::new();
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            interval.tick().await;
            number += 1;
            let caller = self.callers[number % self.callers.len()].clone();
            let phase = usize::from(self.phase.load(Ordering::Relaxed));
            let second = began.elapsed().as_secs() as usize;
            let tally = Arc::clone(&self.tally);
            let in_time = self.in_time;
            tasks.push(tokio::spawn(async move {
                let prompt = site::prompt(format!("load {number}"), TOKENS, number % 2 == 0);
                let sent = Instant::now();
                let answer = caller
                    .generate("drafting", &prompt, &Request::default())
                    .await;
                let took = sent.elapsed();
                let mut tally = tally.lock().expect("no panic holds the lock");
                let good = match &answer {
                    Ok(answer) => answer.status.is_success() && took <= in_time,
                    Err(_) => false,
                };
                tally.count(phase, second, good);
                match answer {
                    Ok(answer) if answer.status.is_success() => {
                        tally
                            .latencies
                            .record(micros(took))
                            .expect("samples are clamped");
                    }
                    Ok(_) => tally.refused += 1,
                    Err(_) => tally.cut_off += 1,
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    }
}

impl Tally {
    fn count(&mut self, phase: usize, second: usize, good: bool) {
        self.phases[phase].0 += u64::from(good);
        self.phases[phase].1 += 1;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += u64::from(good);
        self.seconds[second].1 += 1;
    }
}
