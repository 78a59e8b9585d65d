//! The chunk plan alone, at sizes beyond one machine: time, memory and predicted link loads.

use {
    crate::sample,
    clap::Args,
    eyre::Result,
    jayspread_core::{
        bundle::Piece,
        chunk::{Peer, Plan, Policy, Source, Tier},
        id::Host,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// Regions that data centres are spread over at most.
const REGIONS_MAX: usize = 6;

/// The chunk plan alone, at sizes beyond one machine.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Planner {
    /// Hosts.
    #[arg(long, default_value_t = 2100)]
    hosts: usize,
    /// Data centres.
    #[arg(long, default_value_t = 19)]
    data_centres: usize,
    /// Chunks of the version.
    #[arg(long, default_value_t = 2560)]
    chunks: usize,
}

impl Planner {
    /// Plans for every host and adds up what each link would carry.
    pub async fn run(&self) -> Result<()> {
        let peers: BTreeSet<Peer> = (0..self.hosts).map(|n| self.peer(n)).collect();
        let regions: BTreeMap<Host, Host> = peers
            .iter()
            .map(|p| (p.host.clone(), p.region.clone()))
            .collect();
        let pieces: Vec<Piece> = (0..self.chunks).map(piece).collect();
        let before = sample::resident_of("self");
        let began = Instant::now();
        let mut out: BTreeMap<Host, usize> = BTreeMap::new();
        let mut region_in: BTreeMap<Host, usize> = BTreeMap::new();
        let mut region_out: BTreeMap<Host, usize> = BTreeMap::new();
        let mut origin = 0;
        let mut resident = 0;
        for me in &peers {
            let plan = Plan::new(Policy::Exchange, me, &peers, &pieces, "region-0");
            if resident == 0 {
                resident = sample::resident_of("self").saturating_sub(before);
            }
            for step in &plan.steps {
                match &step.sources[step.probe_count] {
                    Source::Origin => {
                        origin += 1;
                        if &*me.region != "region-0" {
                            *region_in.entry(me.region.clone()).or_default() += 1;
                            *region_out.entry("region-0".into()).or_default() += 1;
                        }
                    }
                    Source::Peer(host) => {
                        *out.entry(host.clone()).or_default() += 1;
                        if step.tier == Tier::Region {
                            *region_in.entry(me.region.clone()).or_default() += 1;
                            *region_out.entry(regions[host].clone()).or_default() += 1;
                        }
                    }
                }
            }
        }
        let seconds = began.elapsed().as_secs_f64();
        let copies = |count: usize| count as f64 / self.chunks as f64;
        let most = |of: &BTreeMap<Host, usize>| copies(of.values().copied().max().unwrap_or(0));
        println!(
            "result scenario=planner hosts={} data_centres={} chunks={} ms_per_plan={:.2} \
             us_per_decision={:.2} plan_mb={:.1} origin_copies={:.2} host_copies_max={:.2} \
             region_in_max={:.2} region_out_max={:.2} predicted_ratio={:.2}",
            self.hosts,
            self.data_centres,
            self.chunks,
            seconds * 1e3 / self.hosts as f64,
            seconds * 1e6 / (self.hosts * self.chunks) as f64,
            resident as f64 / 1e6,
            copies(origin),
            1.0 + most(&out),
            most(&region_in),
            most(&region_out),
            most(&region_in).max(most(&region_out))
        );
        Ok(())
    }

    fn peer(&self, number: usize) -> Peer {
        let place = number % self.data_centres;
        Peer {
            host: format!("host-{number:05}").into(),
            data_centre: format!("dc-{place:02}").into(),
            region: format!("region-{}", place % REGIONS_MAX).into(),
        }
    }
}

fn piece(index: usize) -> Piece {
    Piece {
        artifact: "base".into(),
        offset: index as u64 * 4_194_304,
        length: 4_194_304,
        hash: *blake3::hash(&index.to_le_bytes()).as_bytes(),
    }
}
