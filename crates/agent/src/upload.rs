//! Serves chunks to other agents.

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

/// Upper limit on the wait for a chunk to arrive, whatever the peer asks for, and on the wait for
/// its delivery.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Delay after which a refused peer may retry.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Handles a peer's request for a chunk.
pub async fn serve_chunk(
    shared: &Arc<Shared>,
    session: &Session,
    fetch: Fetch,
    mut writer: Writer,
) {
    let Ok(hash) = ChunkHash::try_from(&fetch.hash[..]) else {
        Metrics::count(&shared.metrics.malformed, "chunk_hash");
        return;
    };
    match wait_for_chunk(shared, &fetch, &hash).await {
        Some(bytes) => send_chunk(shared, session, &fetch, bytes, writer).await,
        None => {
            let pending = lock(&shared.chunks).is_needed(&hash);
            let _ = writer.write(no_chunk(true, pending)).await;
            writer.close();
        }
    }
}

fn no_chunk(missing: bool, pending: bool) -> reply::Kind {
    reply::Kind::NoChunk(NoChunk {
        missing,
        retry_after_ms: RETRY_DELAY.as_millis() as u32,
        pending,
    })
}

/// Waits until the chunk arrives or the time that the peer allows has passed.
async fn wait_for_chunk(shared: &Shared, fetch: &Fetch, hash: &ChunkHash) -> Option<Bytes> {
    let limit = Duration::from_millis(fetch.wait_ms.into()).min(MAX_WAIT);
    let deadline = time::Instant::now() + limit;
    loop {
        let arrived = shared.chunk_arrived.notified();
        tokio::pin!(arrived);
        arrived.as_mut().enable();
        {
            let mut chunks = lock(&shared.chunks);
            if let Some(bytes) = chunks.get(hash) {
                return Some(bytes);
            }
            let is_current = chunks
                .current_version()
                .is_some_and(|v| **v == *fetch.version);
            if is_current && !chunks.is_needed(hash) {
                return None;
            }
            if fetch.acquire {
                chunks.promote(hash);
            }
        }
        if time::timeout_at(deadline, arrived).await.is_err() {
            return lock(&shared.chunks).get(hash);
        }
    }
}

/// Sends a chunk if the upload quota allows it.
async fn send_chunk(
    shared: &Shared,
    session: &Session,
    fetch: &Fetch,
    bytes: Bytes,
    mut writer: Writer,
) {
    let cross_region = session.peer.region != *shared.settings.place.region;
    let permits = if cross_region {
        &shared.cross_region_upload_permits
    } else {
        &shared.upload_permits
    };
    let Ok(permit) = permits.acquire().await else {
        return;
    };
    let length = bytes.len() as u32;
    let allowed = lock(&shared.chunks).reserve_upload(&fetch.version, length, clock::now());
    if !allowed {
        Metrics::count(&shared.metrics.fetch_failed, "quota");
        let _ = writer.write(no_chunk(false, false)).await;
        writer.close();
        return;
    }
    let reply = reply::Kind::Chunk(Chunk { length });
    let header_sent = writer.write(reply).await.is_ok();
    let body_sent = header_sent && writer.write_bytes(bytes).await.is_ok();
    let sent_bytes = if header_sent { length } else { 0 };
    lock(&shared.chunks).settle_upload(&fetch.version, length, sent_bytes);
    shared.metrics.bytes_sent.inc_by(sent_bytes.into());
    if cross_region {
        shared
            .metrics
            .bytes_sent_cross_region
            .inc_by(sent_bytes.into());
    }
    if body_sent {
        let _ = time::timeout(MAX_WAIT, writer.delivered()).await;
    }
    drop(permit);
}
