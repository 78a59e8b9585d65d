//! Agents of the simulation.

use {
    super::{AGENT_COUNT, COLD_LIMIT, Message, Simulation},
    jayspread_core::admission::{Attempt, Dequeued, Verdict},
    jayspread_schema::wire::Refusal,
    rand::{Rng, seq::IndexedRandom},
    std::time::Duration,
};

impl Simulation {
    pub(super) fn receive_at_agent(&mut self, index: usize, message: Message) {
        match message {
            Message::Submit(attempt, incarnation) => self.submit(index, attempt, incarnation),
            Message::Cancel(attempt, incarnation) => {
                let agent = &mut self.agents[index];
                if incarnation != agent.incarnation {
                    return;
                }
                let attempt_id = attempt.as_str().into();
                if agent.table.cancel(&attempt_id, self.now) {
                    self.send(index, false, Message::NotStarted(attempt));
                } else if agent.table.is_retained(&attempt_id) && !agent.running.contains(&attempt)
                {
                    self.send(index, false, Message::Finished(attempt));
                } else {
                    self.send(index, false, Message::Known(attempt));
                }
            }
            _ => {}
        }
    }

    pub(super) fn submit(&mut self, index: usize, attempt: String, incarnation: u64) {
        let agent = &mut self.agents[index];
        let submitted = Attempt {
            request: attempt.as_str().into(),
            incarnation,
            deadline: self.now + Duration::from_secs(3),
            priority: 0,
        };
        match agent.table.submit(&submitted, self.now) {
            Verdict::Start => self.start(index, attempt),
            Verdict::Refuse(Refusal::Incarnation) => {}
            Verdict::Refuse(_) => self.send(index, false, Message::NotStarted(attempt)),
            Verdict::Wait | Verdict::Known => {}
        }
    }

    pub(super) fn start(&mut self, index: usize, attempt: String) {
        let agent = &mut self.agents[index];
        agent.running.insert(attempt.clone());
        let limit = agent.table.ramp.limit();
        assert!(
            agent.running.len() <= limit,
            "a backend server is overloaded"
        );
        assert!(
            !self.refused.contains(&attempt),
            "a refused attempt started: {attempt}"
        );
        assert!(
            self.started.insert(attempt.clone()),
            "an attempt started twice: {attempt}"
        );
        let key = self.attempt_keys[&attempt];
        let effects = self.effects.entry(key).or_default();
        *effects += 1;
        self.stats.effects += 1;
        assert!(*effects == 1, "an effect was applied twice");
    }

    /// Finishes a random running attempt of a random agent, if it has one.
    pub(super) fn finish_attempt(&mut self) {
        let index = self.rng.random_range(0..AGENT_COUNT);
        let running: Vec<String> = self.agents[index].running.iter().cloned().collect();
        let Some(attempt) = running.choose(&mut self.rng).cloned() else {
            return;
        };
        let agent = &mut self.agents[index];
        agent.running.remove(&attempt);
        agent.table.ramp.observe(Duration::from_millis(5), self.now);
        let dequeued = agent.table.finish(&attempt.as_str().into(), self.now);
        self.apply_dequeued(index, dequeued);
        self.send(index, false, Message::Finished(attempt));
    }

    pub(super) fn apply_dequeued(&mut self, index: usize, dequeued: Vec<Dequeued>) {
        for entry in dequeued {
            match entry {
                Dequeued::Start(request) => self.start(index, request.to_string()),
                Dequeued::Refuse(request, _) => {
                    self.send(index, false, Message::NotStarted(request.to_string()));
                }
            }
        }
    }

    pub(super) fn tick_agent(&mut self) {
        let index = self.rng.random_range(0..AGENT_COUNT);
        let (dequeued, _) = self.agents[index].table.tick(self.now);
        self.apply_dequeued(index, dequeued);
    }

    /// Sometimes restarts a random agent; its running attempts have applied their effects already.
    pub(super) fn restart_agent(&mut self) {
        if self.rng.random_bool(0.8) {
            return;
        }
        let index = self.rng.random_range(0..AGENT_COUNT);
        self.agents[index] = self.new_agent();
        self.stats.restarts += 1;
    }

    /// Makes a random backend server cold, unless it runs more than a cold one can take.
    pub(super) fn reset_ramp(&mut self) {
        let index = self.rng.random_range(0..AGENT_COUNT);
        let agent = &mut self.agents[index];
        if agent.running.len() <= COLD_LIMIT {
            agent.table.ramp.reset(self.now);
        }
    }
}
