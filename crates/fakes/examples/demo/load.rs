//! Background load of the demo.

use {
    crate::{STEP_TIMEOUT, prompt},
    jayspread_fakes::{
        caller::{Caller, Request},
        cluster::Cluster,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time},
};

/// Number of callers that send requests in the background.
const CALLER_COUNT: usize = 6;

/// Background load from several callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    counts: Arc<AtomicCounts>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Default)]
struct AtomicCounts {
    whole: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
}

/// Responses by result.
pub struct Counts {
    /// Complete responses.
    pub whole: u64,
    /// Refused requests.
    pub refused: u64,
    /// Wrong or incomplete responses.
    pub wrong: u64,
}

impl std::fmt::Display for Counts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "whole={} refused={} wrong={}",
            self.whole, self.refused, self.wrong
        )
    }
}

impl Load {
    /// Starts the callers.
    pub fn start(cluster: &Cluster) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(AtomicCounts::default());
        let addresses = cluster.caller_addresses();
        let tasks = (0..CALLER_COUNT)
            .map(|number| {
                let caller = Caller::new(addresses[number % addresses.len()], STEP_TIMEOUT);
                let stop = Arc::clone(&stop);
                let counts = Arc::clone(&counts);
                tokio::spawn(send_until_stopped(caller, number, stop, counts))
            })
            .collect();
        Self {
            stop,
            counts,
            tasks,
        }
    }

    /// Stops the callers and returns the counts.
    pub async fn stop(self) -> Counts {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        Counts {
            whole: self.counts.whole.load(Ordering::Relaxed),
            refused: self.counts.refused.load(Ordering::Relaxed),
            wrong: self.counts.wrong.load(Ordering::Relaxed),
        }
    }
}

async fn send_until_stopped(
    caller: Caller,
    number: usize,
    stop: Arc<AtomicBool>,
    counts: Arc<AtomicCounts>,
) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let prompt = prompt(&format!("draft {number} {count}"), count % 2 == 0);
        let request = Request::default();
        match caller.generate("drafting", &prompt, &request).await {
            Ok(response) if response.status.is_success() => &counts.whole,
            Ok(_) => &counts.refused,
            Err(error) => {
                println!("        wrong answer: {error}");
                &counts.wrong
            }
        }
        .fetch_add(1, Ordering::Relaxed);
        time::sleep(Duration::from_millis(2)).await;
    }
}
