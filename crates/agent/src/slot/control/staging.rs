//! Stages pieces at the engine, and reads them back before a load order.

use {
    super::Controller,
    crate::{shared::lock, slot::pieces::sha256},
    jayspread_core::load::Check,
    jayspread_net::{clock, event},
    jayspread_platform::{engine::Client, origin::Manifest},
    std::{collections::BTreeSet, sync::Arc},
    tokio::task::JoinSet,
};

/// Largest number of pieces staged between two reads of the engine's state, while others are missing.
const STAGE_BATCH: usize = 8;
/// Connections over which staged pieces are read back: the engine is out of service meanwhile, and each
/// read takes at least a round trip.
const CHECK_LANES: usize = 4;
/// Checks of the staged pieces for one load order, each but the last outdated by a pause.
const MAX_CHECKS: u32 = 3;

impl Controller {
    /// Copies the pieces in memory into the engine's staging area, at most some of them while others
    /// are missing, so that the engine's state is read on time; returns whether all are staged.
    pub(super) async fn stage(&mut self, version: u64) -> bool {
        let Some(manifest) = lock(&self.shared.pieces).manifest(version) else {
            return false;
        };
        let count = manifest.digests.len();
        let held = lock(&self.shared.pieces).indices(version);
        let limit = if held.len() < count {
            STAGE_BATCH
        } else {
            count
        };
        let unstaged = held.into_iter().filter(|i| !self.staged_pieces.contains(i));
        let next: Vec<usize> = unstaged.take(limit).collect();
        for index in next {
            if !self.stage_piece(version, index).await {
                return false;
            }
            self.staged_pieces.insert(index);
        }
        self.staged_pieces.len() == count
    }

    async fn stage_piece(&mut self, version: u64, index: usize) -> bool {
        let Some(source) = self.shared.weight_source() else {
            return false;
        };
        let Some(bytes) = lock(&self.shared.pieces).get(version, index) else {
            return false;
        };
        let staged = self.client.stage_piece(&source.model, index, &bytes).await;
        if let Err(cause) = &staged {
            event!(Warn, "stage_failed", index = index, reason = cause);
        }
        staged.is_ok()
    }

    /// Verifies the staged pieces, again if this process stood still meanwhile.
    pub(super) async fn verify_recently(&mut self, version: u64) -> bool {
        for _ in 0..MAX_CHECKS {
            let started = clock::now();
            let Some(checks) = self.verify(version).await else {
                return false;
            };
            let now = clock::now();
            if checks.iter().all(|check| check.is_recent(now)) {
                let took = now.saturating_duration_since(started);
                event!(
                    Info,
                    "staged_checked",
                    version = version,
                    took_ms = took.as_millis()
                );
                return true;
            }
            let stood_still = checks.iter().map(|check| check.longest_gap(now)).max();
            event!(
                Warn,
                "check_outdated",
                version = version,
                stood_still_ms = stood_still.unwrap_or_default().as_millis()
            );
        }
        false
    }

    /// Reads all staged pieces back over several connections, and replaces missing or corrupt ones;
    /// `None` if that fails.
    async fn verify(&mut self, version: u64) -> Option<Vec<Check>> {
        let source = self.shared.weight_source()?;
        let manifest = lock(&self.shared.pieces).manifest(version)?;
        let mut lanes = JoinSet::new();
        for lane in 0..CHECK_LANES {
            let client = Client::new(self.shared.engine_address);
            let (model, manifest) = (source.model.clone(), Arc::clone(&manifest));
            lanes.spawn(check_lane(client, model, manifest, lane));
        }
        let mut checks = Vec::new();
        let mut invalid = BTreeSet::new();
        while let Some(checked) = lanes.join_next().await {
            let (check, pieces) = checked.ok().flatten()?;
            checks.push(check);
            invalid.extend(pieces);
        }
        for index in invalid {
            self.shared.metrics.staged_corrupt.inc();
            event!(
                Warn,
                "staged_piece_corrupt",
                version = version,
                index = index
            );
            if !self.stage_piece(version, index).await {
                return None;
            }
        }
        Some(checks)
    }
}

/// Reads every [`CHECK_LANES`]th staged piece back, from the piece `lane` on; returns the indices of
/// missing or corrupt ones, or `None` if the engine can't be read.
async fn check_lane(
    mut client: Client,
    model: Box<str>,
    manifest: Arc<Manifest>,
    lane: usize,
) -> Option<(Check, Vec<usize>)> {
    let mut check = Check::new(clock::now());
    let mut invalid = Vec::new();
    let pieces = manifest.digests.iter().enumerate();
    for (index, expected) in pieces.skip(lane).step_by(CHECK_LANES) {
        check.step(clock::now());
        match client.staged_piece(&model, index).await {
            Ok(Some(bytes)) if sha256(&bytes) == *expected => {}
            Ok(_) => invalid.push(index),
            Err(cause) => {
                event!(
                    Warn,
                    "staged_piece_unreadable",
                    index = index,
                    reason = cause
                );
                return None;
            }
        }
    }
    Some((check, invalid))
}
