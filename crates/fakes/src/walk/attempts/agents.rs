//! The agents' side of the walk.

use {
    super::{AGENTS, COLD, Message, World},
    jayspread_core::admission::{Attempt, Dequeued, Verdict},
    jayspread_schema::wire::Refusal,
    rand::{Rng, seq::IndexedRandom},
    std::time::Duration,
};

impl World {
    pub(super) fn at_agent(&mut self, number: usize, message: Message) {
        match message {
            Message::Submit(attempt, incarnation) => self.submit(number, attempt, incarnation),
            Message::Cancel(attempt, incarnation) => {
                let agent = &mut self.agents[number];
                if incarnation != agent.incarnation {
                    return;
                }
                let request = attempt.as_str().into();
                if agent.table.cancel(&request, self.now) {
                    self.send(number, false, Message::NotStarted(attempt));
                } else if agent.table.is_retained(&request) && !agent.running.contains(&attempt) {
                    self.send(number, false, Message::Finished(attempt));
                } else {
                    self.send(number, false, Message::Known(attempt));
                }
            }
            _ => {}
        }
    }

    pub(super) fn submit(&mut self, number: usize, attempt: String, incarnation: u64) {
        let agent = &mut self.agents[number];
        let asked = Attempt {
            request: attempt.as_str().into(),
            incarnation,
            deadline: self.now + Duration::from_secs(3),
            priority: 0,
        };
        match agent.table.submit(&asked, self.now) {
            Verdict::Start => self.start(number, attempt),
            Verdict::Refuse(Refusal::Incarnation) => {}
            Verdict::Refuse(_) => self.send(number, false, Message::NotStarted(attempt)),
            Verdict::Wait | Verdict::Known => {}
        }
    }

    pub(super) fn start(&mut self, number: usize, attempt: String) {
        let agent = &mut self.agents[number];
        agent.running.insert(attempt.clone());
        let bears = agent.table.ramp.limit();
        assert!(agent.running.len() <= bears, "a backend server is overrun");
        assert!(
            !self.denied.contains(&attempt),
            "a refused request started: {attempt}"
        );
        assert!(
            self.started.insert(attempt.clone()),
            "an attempt started twice: {attempt}"
        );
        let key = self.keys[&attempt];
        let count = self.effects.entry(key).or_default();
        *count += 1;
        self.figures.effects += 1;
        assert!(*count == 1, "an effect was applied twice");
    }

    /// A running attempt ends.
    pub(super) fn finish(&mut self) {
        let number = self.rng.random_range(0..AGENTS);
        let running: Vec<String> = self.agents[number].running.iter().cloned().collect();
        let Some(attempt) = running.choose(&mut self.rng).cloned() else {
            return;
        };
        let agent = &mut self.agents[number];
        agent.running.remove(&attempt);
        agent.table.ramp.observe(Duration::from_millis(5), self.now);
        let turns = agent.table.finish(&attempt.as_str().into(), self.now);
        self.take(number, turns);
        self.send(number, false, Message::Finished(attempt));
    }

    pub(super) fn take(&mut self, number: usize, turns: Vec<Dequeued>) {
        for turn in turns {
            match turn {
                Dequeued::Start(request) => self.start(number, request.to_string()),
                Dequeued::Refuse(request, _) => {
                    self.send(number, false, Message::NotStarted(request.to_string()));
                }
            }
        }
    }

    pub(super) fn tick(&mut self) {
        let number = self.rng.random_range(0..AGENTS);
        let (turns, _) = self.agents[number].table.tick(self.now);
        self.take(number, turns);
    }

    /// An agent dies; what ran at its backend server has had its effect.
    pub(super) fn restart(&mut self) {
        if self.rng.random_bool(0.8) {
            return;
        }
        let number = self.rng.random_range(0..AGENTS);
        self.agents[number] = self.agent();
        self.figures.restarts += 1;
    }

    pub(super) fn chill(&mut self) {
        let number = self.rng.random_range(0..AGENTS);
        let agent = &mut self.agents[number];
        if agent.running.len() <= COLD {
            agent.table.ramp.reset(self.now);
        }
    }
}
