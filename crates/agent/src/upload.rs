//! Passing chunks on to other agents.

use {
    crate::{
        metrics::Metrics,
        shared::{Shared, lock},
    },
    bytes::Bytes,
    jayspread_core::id::ChunkHash,
    jayspread_net::{
        clock,
        session::{Session, Writer},
    },
    jayspread_schema::wire::{Chunk, Fetch, NoChunk, reply},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Longest wait for a chunk to arrive, whatever the peer asks for.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Delay after which a refused peer may ask again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers a request for a chunk.
pub async fn answer(shared: &Arc<Shared>, session: &Session, fetch: Fetch, mut writer: Writer) {
    let Ok(hash) = ChunkHash::try_from(&fetch.hash[..]) else {
        Metrics::count(&shared.metrics.nonsense, "chunk_hash");
        return;
    };
    match wait(shared, &fetch, &hash).await {
        Some(bytes) => send(shared, session, &fetch, bytes, writer).await,
        None => {
            let pending = lock(&shared.chunks).wants(&hash);
            let _ = writer.write(no_chunk(true, pending)).await;
            writer.close();
        }
    }
}

fn no_chunk(missing: bool, pending: bool) -> reply::Kind {
    reply::Kind::NoChunk(NoChunk {
        missing,
        retry_after_ms: RETRY_AFTER.as_millis() as u32,
        pending,
    })
}

/// Waits for the chunk to arrive, as long as the peer allows.
async fn wait(shared: &Shared, fetch: &Fetch, hash: &ChunkHash) -> Option<Bytes> {
    let limit = Duration::from_millis(fetch.wait_ms.into()).min(WAIT_MAX);
    let due = time::Instant::now() + limit;
    loop {
        let arrived = shared.arrived.notified();
        tokio::pin!(arrived);
        arrived.as_mut().enable();
        {
            let mut chunks = lock(&shared.chunks);
            if let Some(bytes) = chunks.get(hash) {
                return Some(bytes);
            }
            let current = chunks.version().is_some_and(|v| **v == *fetch.version);
            if current && !chunks.wants(hash) {
                return None;
            }
            if fetch.acquire {
                chunks.promote(hash);
            }
        }
        if time::timeout_at(due, arrived).await.is_err() {
            return lock(&shared.chunks).get(hash);
        }
    }
}

/// Sends a chunk within the upload quota.
async fn send(shared: &Shared, session: &Session, fetch: &Fetch, bytes: Bytes, mut writer: Writer) {
    let far = session.peer.region != *shared.settings.place.region;
    let gate = if far {
        &shared.far_uploads
    } else {
        &shared.uploads
    };
    let Ok(permit) = gate.acquire().await else {
        return;
    };
    let length = bytes.len() as u32;
    let allowed = lock(&shared.chunks).reserve(&fetch.version, length, clock::now());
    if !allowed {
        Metrics::count(&shared.metrics.fetch_failed, "quota");
        let _ = writer.write(no_chunk(false, false)).await;
        writer.close();
        return;
    }
    let header = reply::Kind::Chunk(Chunk { length });
    let begun = writer.write(header).await.is_ok();
    let sent = begun && writer.write_bytes(bytes).await.is_ok();
    let counted = if begun { length } else { 0 };
    lock(&shared.chunks).settle(&fetch.version, length, counted);
    shared.metrics.bytes_sent.inc_by(counted.into());
    if far {
        shared
            .metrics
            .bytes_sent_cross_region
            .inc_by(counted.into());
    }
    if sent {
        let _ = time::timeout(WAIT_MAX, writer.delivered()).await;
    }
    drop(permit);
}
