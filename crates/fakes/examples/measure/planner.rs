//! Time, memory and predicted link load of the chunk planner, with more hosts than one machine can
//! run.

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

/// Largest number of regions that the data centres are spread over.
const MAX_REGIONS: usize = 6;

/// The chunk planner alone, with more hosts than one machine can run.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Planner {
    /// Number of hosts.
    #[arg(long, default_value_t = 2100)]
    hosts: usize,
    /// Number of data centres.
    #[arg(long, default_value_t = 19)]
    data_centres: usize,
    /// Number of chunks in the version.
    #[arg(long, default_value_t = 2560)]
    chunks: usize,
}

impl Planner {
    /// Makes the plan of every host and adds up the copies that each link would carry.
    pub async fn run(&self) -> Result<()> {
        let peers: BTreeSet<Peer> = (0..self.hosts).map(|number| self.peer(number)).collect();
        let regions: BTreeMap<Host, Host> = peers
            .iter()
            .map(|p| (p.host.clone(), p.region.clone()))
            .collect();
        let pieces: Vec<Piece> = (0..self.chunks).map(piece).collect();
        let resident_before = sample::resident_of("self");
        let started = Instant::now();
        let mut sent_by_host: BTreeMap<Host, usize> = BTreeMap::new();
        let mut received_by_region: BTreeMap<Host, usize> = BTreeMap::new();
        let mut sent_by_region: BTreeMap<Host, usize> = BTreeMap::new();
        let mut origin_chunks = 0;
        let mut plan_bytes = 0;
        for peer in &peers {
            let plan = Plan::new(Policy::Exchange, peer, &peers, &pieces, "region-0");
            if plan_bytes == 0 {
                plan_bytes = sample::resident_of("self").saturating_sub(resident_before);
            }
            for step in &plan.steps {
                match &step.sources[step.probe_count] {
                    Source::Origin => {
                        origin_chunks += 1;
                        if &*peer.region != "region-0" {
                            *received_by_region.entry(peer.region.clone()).or_default() += 1;
                            *sent_by_region.entry("region-0".into()).or_default() += 1;
                        }
                    }
                    Source::Peer(host) => {
                        *sent_by_host.entry(host.clone()).or_default() += 1;
                        if step.tier == Tier::Region {
                            *received_by_region.entry(peer.region.clone()).or_default() += 1;
                            *sent_by_region.entry(regions[host].clone()).or_default() += 1;
                        }
                    }
                }
            }
        }
        let seconds = started.elapsed().as_secs_f64();
        let copies = |count: usize| count as f64 / self.chunks as f64;
        let max_copies =
            |counts: &BTreeMap<Host, usize>| copies(counts.values().copied().max().unwrap_or(0));
        println!(
            "result scenario=planner hosts={} data_centres={} chunks={} ms_per_plan={:.2} \
             us_per_decision={:.2} plan_mb={:.1} origin_copies={:.2} host_copies_max={:.2} \
             region_in_max={:.2} region_out_max={:.2} predicted_ratio={:.2}",
            self.hosts,
            self.data_centres,
            self.chunks,
            seconds * 1e3 / self.hosts as f64,
            seconds * 1e6 / (self.hosts * self.chunks) as f64,
            plan_bytes as f64 / 1e6,
            copies(origin_chunks),
            1.0 + max_copies(&sent_by_host),
            max_copies(&received_by_region),
            max_copies(&sent_by_region),
            max_copies(&received_by_region).max(max_copies(&sent_by_region))
        );
        Ok(())
    }

    fn peer(&self, number: usize) -> Peer {
        let data_centre = number % self.data_centres;
        Peer {
            host: format!("host-{number:05}").into(),
            data_centre: format!("dc-{data_centre:02}").into(),
            region: format!("region-{}", data_centre % MAX_REGIONS).into(),
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
