//! A table of engines for tests of where requests go.

#![allow(dead_code)] // Each test file uses a part of it.

use {
    jayspread_core::{
        catalog::{Backend, Kind, Route, Speed, Target},
        engine::{Listing, Load, Loaded, Report, Turn},
        place::{Need, Refusal, Table},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

pub const SLOTS: u32 = 16;

pub fn speed() -> Speed {
    Speed {
        slots: SLOTS,
        steps: 6,
        step: Duration::from_micros(7_400),
        step_per_writer: Duration::from_micros(39),
        read_rate: 31_900.0,
        usual_prompt: 973,
        usual_answer: 106,
        model: "m".into(),
    }
}

pub fn backend(speed: Option<Speed>) -> Backend {
    Backend {
        name: "s".into(),
        connections: 434,
        cold: Duration::from_secs(3),
        cold_rate: 38.0,
        speed,
        origin: None,
    }
}

pub fn route(regions: &[&str]) -> Route {
    Route {
        name: "r".into(),
        prefix: "/".into(),
        kind: Kind::Resumable,
        public: false,
        timeout: Duration::from_secs(6),
        objective: Duration::from_millis(400),
        gap: Some(Duration::from_millis(300)),
        rank: 1,
        attempts: 2,
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        regions: regions.iter().map(|r| Box::from(*r)).collect(),
    }
}

pub fn listing(id: &str, number: u8, region: &str) -> Listing {
    Listing {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, number], 80)),
        data_centre: format!("{region}-a").into(),
        region: region.into(),
        slots: SLOTS,
        draining: false,
        cold_left: Duration::ZERO,
        born_ms: Some(1),
        loaded: Some(Loaded {
            model: "m".into(),
            version: 1,
            whole: true,
        }),
    }
}

pub fn report(running: u32, waiting: u32, turn: Turn) -> Report {
    Report {
        turn,
        answers: true,
        load: Load {
            running,
            waiting,
            pace: 1.0,
        },
        version: Some(1),
        closed: false,
        closes: None,
        intake: SLOTS,
    }
}

/// Turn of the only entry host.
pub fn alone() -> Turn {
    Turn::new(0, 1, 0)
}

pub fn need<'a>(route: &'a Route, backend: &'a Backend) -> Need<'a> {
    Need {
        route,
        backend,
        region: "r1",
        regions: &[],
        prompt: 500,
        answer: None,
        left: route.objective,
        least_version: 0,
        avoid: &[],
        hosts: 1,
        urgent: false,
    }
}

pub struct Fixture {
    pub table: Table,
    pub route: Route,
    pub backend: Backend,
    pub rng: StdRng,
    pub now: Instant,
}

impl Fixture {
    pub fn new(engines: &[(&str, &str)]) -> Self {
        let now = Instant::now();
        let mut table = Table::default();
        for (number, (id, region)) in engines.iter().enumerate() {
            table.list(listing(id, number as u8 + 1, region), now);
            let address = SocketAddr::from(([127, 0, 0, number as u8 + 1], 80));
            table.hear(address, 1, report(0, 0, alone()), now);
        }
        Self {
            table,
            route: route(&[]),
            backend: backend(Some(speed())),
            rng: StdRng::seed_from_u64(7),
            now,
        }
    }

    pub fn hear(&mut self, number: u8, report: Report) {
        let address = SocketAddr::from(([127, 0, 0, number], 80));
        assert!(self.table.hear(address, 1, report, self.now));
    }

    pub fn choose(&mut self) -> Result<Box<str>, Refusal> {
        let need = need(&self.route, &self.backend);
        let choice = self.table.choose(&need, &mut self.rng, self.now)?;
        Ok(choice.ticket.id)
    }
}
