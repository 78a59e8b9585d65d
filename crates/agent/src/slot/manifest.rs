//! Obtains the manifest of a version: from memory, the origin or another agent.

use {
    crate::{
        shared::lock,
        slot::{
            serve,
            shared::{Shared, WeightSource},
        },
    },
    jayspread_core::{chunk::Peer, fetch::Supply, spread},
    jayspread_net::{clock, event},
    jayspread_platform::{
        Error,
        origin::{self, Manifest},
    },
    rand::seq::IteratorRandom,
    std::{
        collections::BTreeSet,
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::time,
};

/// Delay before a manifest is requested again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts at other agents before the origin by a host that leaves the origin to others.
const AGENT_ATTEMPTS: usize = 3;

/// Status of the origin for a version that it no longer has.
pub const GONE: u16 = 410;

/// Obtains the manifest from memory, the origin or another agent, retrying until it succeeds or the
/// version is gone.
pub async fn obtain(
    shared: &Shared,
    version: u64,
    supply: &mut Supply,
) -> Option<(WeightSource, Arc<Manifest>)> {
    let mut attempt = 0;
    loop {
        if supply.is_gone(clock::now()) {
            return None;
        }
        let Some(source) = shared.weight_source() else {
            time::sleep(RETRY_DELAY).await;
            continue;
        };
        let (held, is_stale) = {
            let pieces = lock(&shared.pieces);
            (pieces.manifest(version), pieces.is_stale(version))
        };
        if let Some(held) = held {
            let manifest = match source.origin {
                Some(origin) if is_stale => renew(&source.model, origin, held, supply).await,
                _ => held,
            };
            return Some((source, manifest));
        }
        match request(shared, &source, version, attempt).await {
            Ok(Some(manifest)) => return Some((source, Arc::new(manifest))),
            Ok(None) => {}
            Err(cause) => {
                if matches!(cause, Error::Refused(GONE)) {
                    supply.refuse(clock::now());
                }
                if attempt == 0 {
                    event!(Warn, "manifest_failed", version = version, reason = cause);
                }
                shared.metrics.fetch_failed.inc();
            }
        }
        attempt += 1;
        time::sleep(RETRY_DELAY).await;
    }
}

/// Requests the manifest that a fetch stalled with from the origin again; the one at hand if the
/// origin does not answer, or no longer has the version.
async fn renew(
    model: &str,
    origin: SocketAddr,
    held: Arc<Manifest>,
    supply: &mut Supply,
) -> Arc<Manifest> {
    match request_from_origin(origin, model, held.version).await {
        Ok(manifest) => Arc::new(manifest),
        Err(cause) => {
            if matches!(cause, Error::Refused(GONE)) {
                supply.refuse(clock::now());
            }
            event!(
                Info,
                "manifest_kept",
                version = held.version,
                reason = cause
            );
            held
        }
    }
}

async fn request_from_origin(
    origin: SocketAddr,
    model: &str,
    version: u64,
) -> Result<Manifest, Error> {
    let mut client = origin::Client::new(origin);
    let manifest = client.manifest(model, version).await?;
    if manifest.version != version {
        let reason = format!("manifest of version {}", manifest.version);
        return Err(Error::Malformed(reason.into()));
    }
    Ok(manifest)
}

/// Requests the manifest from the origin on even attempts and from any other agent on odd ones. Most
/// hosts of a large fleet begin with other agents.
async fn request(
    shared: &Shared,
    source: &WeightSource,
    version: u64,
    attempt: usize,
) -> Result<Option<Manifest>, Error> {
    let settings = &shared.settings;
    let agents = shared.agents();
    let peer = |host: &str, data_centre: &str| Peer {
        host: host.into(),
        data_centre: data_centre.into(),
        region: settings.region(data_centre).into(),
    };
    let local = peer(&settings.host, &settings.data_centre);
    let peers: BTreeSet<Peer> = agents
        .iter()
        .map(|(host, (_, data_centre))| peer(host, data_centre))
        .collect();
    let origin_region = settings.region(&source.data_centre);
    let reads_origin =
        attempt >= AGENT_ATTEMPTS || spread::reads_manifest(version, &local, &peers, origin_region);
    if let Some(origin) = source.origin
        && reads_origin
        && (attempt.is_multiple_of(2) || agents.is_empty())
    {
        return request_from_origin(origin, &source.model, version)
            .await
            .map(Some);
    }
    // Those near the origin have it first.
    let near = peers.iter().filter(|peer| *peer.region == *origin_region);
    let near = near.filter(|_| !reads_origin).choose(&mut rand::rng());
    let any = near.or_else(|| peers.iter().choose(&mut rand::rng()));
    let Some((address, _)) = any.and_then(|peer| agents.get(&peer.host)) else {
        return Ok(None);
    };
    let peer = SocketAddr::new(IpAddr::V4(*address), shared.settings.internal_port);
    let manifest = serve::fetch_manifest(peer, version).await;
    manifest.map_err(Error::Malformed)
}
