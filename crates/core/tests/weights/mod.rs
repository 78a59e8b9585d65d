//! Hosts and pieces of a version for tests of how it spreads.

use {
    jayspread_core::{
        bundle::Piece,
        chunk::{Peer, Plan, Policy, Step},
    },
    std::collections::BTreeSet,
};

/// Pieces of the version.
pub const PIECES: usize = 48;

pub fn peers(count: usize) -> BTreeSet<Peer> {
    let peer = |number: usize| Peer {
        host: format!("host-{number}").into(),
        data_centre: format!("r{}-a", number % 3).into(),
        region: format!("r{}", number % 3).into(),
    };
    (0..count).map(peer).collect()
}

fn pieces() -> Vec<Piece> {
    let piece = |index: usize| {
        let mut hash = [0; 32];
        hash[0] = index as u8;
        hash[31] = index.wrapping_mul(37) as u8;
        Piece {
            artifact: "m".into(),
            offset: index as u64,
            length: 1,
            hash,
        }
    };
    (0..PIECES).map(piece).collect()
}

pub fn steps(me: &Peer, peers: &BTreeSet<Peer>) -> Vec<Step> {
    let pieces = pieces();
    let plan = Plan::new(Policy::OriginRegionOnly, me, peers, &pieces, "r0").steps;
    let find = |piece: &Piece| {
        let step = plan.iter().find(|step| step.hash == piece.hash);
        step.expect("each piece has a step").clone()
    };
    pieces.iter().map(find).collect()
}
