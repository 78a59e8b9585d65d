//! Steady load of repeatable requests, with the share answered in time in each phase.

use {
    crate::deployment::{self, histogram, micros},
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

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);
/// Tokens in an answer.
const TOKENS: usize = 5;

/// Phases of the load after phase 0, which covers the requests sent before the drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The data centre is drained.
    During = 1,
    /// The data centre is back in service.
    After,
}

/// Requests sent in one second: how many were answered in time, and how many were sent.
pub type SecondCounts = (u64, u64);

struct Recorder {
    phases: [(u64, u64); 3],
    seconds: Vec<SecondCounts>,
    latencies: Histogram<u64>,
    cut_off: u64,
    refused: u64,
}

/// Results of a load.
pub struct Summary {
    /// Share of requests answered in time before, during and after the drain, 0 to 1.
    pub shares: [f64; 3],
    /// Counts for each second in which requests were sent.
    pub seconds: Vec<SecondCounts>,
    /// Requests whose answer was incomplete, wrong or missing.
    pub cut_off: u64,
    /// Requests refused with an error status.
    pub refused: u64,
    /// 99th percentile of the latency of successful requests, milliseconds.
    pub p99_ms: f64,
}

/// A running load.
pub struct Load {
    stop: Arc<AtomicBool>,
    phase: Arc<AtomicU8>,
    recorder: Arc<Mutex<Recorder>>,
    task: JoinHandle<()>,
}

impl Load {
    /// Starts sending `rate` requests per second to the entry hosts in turn. Responses within
    /// `in_time` count as in time.
    pub fn start(entries: Vec<SocketAddr>, rate: u64, in_time: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let phase = Arc::new(AtomicU8::new(0));
        let recorder = Arc::new(Mutex::new(Recorder {
            phases: [(0, 0); 3],
            seconds: Vec::new(),
            latencies: histogram(),
            cut_off: 0,
            refused: 0,
        }));
        let sender = Sender {
            callers: entries
                .into_iter()
                .map(|address| Caller::new(address, CALLER_TIMEOUT))
                .collect(),
            stop: Arc::clone(&stop),
            phase: Arc::clone(&phase),
            recorder: Arc::clone(&recorder),
            in_time,
        };
        let task = tokio::spawn(sender.run(rate));
        Self {
            stop,
            phase,
            recorder,
            task,
        }
    }

    /// Assigns requests sent from now on to `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Stops the load, waits for all responses and returns the results.
    pub async fn stop(self) -> Summary {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.task.await;
        let recorder = self.recorder.lock().expect("lock is not poisoned");
        let share = |(in_time, sent): (u64, u64)| in_time as f64 / sent.max(1) as f64;
        Summary {
            shares: recorder.phases.map(share),
            seconds: recorder.seconds.clone(),
            cut_off: recorder.cut_off,
            refused: recorder.refused,
            p99_ms: recorder.latencies.value_at_quantile(0.99) as f64 / 1000.0,
        }
    }
}

/// Task that sends the requests.
struct Sender {
    callers: Vec<Caller>,
    stop: Arc<AtomicBool>,
    phase: Arc<AtomicU8>,
    recorder: Arc<Mutex<Recorder>>,
    in_time: Duration,
}

impl Sender {
    async fn run(self, rate: u64) {
        let started = Instant::now();
        let mut interval = time::interval(Duration::from_secs_f64(1.0 / rate as f64));
        let mut tasks = Vec::new();
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            interval.tick().await;
            number += 1;
            let caller = self.callers[number % self.callers.len()].clone();
            let phase = usize::from(self.phase.load(Ordering::Relaxed));
            let second = started.elapsed().as_secs() as usize;
            let recorder = Arc::clone(&self.recorder);
            let in_time = self.in_time;
            tasks.push(tokio::spawn(async move {
                let prompt = deployment::prompt(format!("load {number}"), TOKENS, number % 2 == 0);
                let sent_at = Instant::now();
                let result = caller
                    .generate("drafting", &prompt, &Request::default())
                    .await;
                let latency = sent_at.elapsed();
                let mut recorder = recorder.lock().expect("lock is not poisoned");
                let answered_in_time = match &result {
                    Ok(response) => response.status.is_success() && latency <= in_time,
                    Err(_) => false,
                };
                recorder.count(phase, second, answered_in_time);
                match result {
                    Ok(response) if response.status.is_success() => {
                        recorder
                            .latencies
                            .record(micros(latency))
                            .expect("samples are clamped");
                    }
                    Ok(_) => recorder.refused += 1,
                    Err(_) => recorder.cut_off += 1,
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    }
}

impl Recorder {
    fn count(&mut self, phase: usize, second: usize, answered_in_time: bool) {
        self.phases[phase].0 += u64::from(answered_in_time);
        self.phases[phase].1 += 1;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += u64::from(answered_in_time);
        self.seconds[second].1 += 1;
    }
}
