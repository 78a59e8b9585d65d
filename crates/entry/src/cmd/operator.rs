//! Shared parts of the operators' commands: reading settings, keys and the log, and appending
//! changes.

use {
    crate::{
        args::{Output, Platform, Signer},
        cmd::UsageError,
        log::{self, Log, Page},
        projection::{Outcome, Projection},
    },
    bytes::Bytes,
    ed25519_dalek::SigningKey,
    eyre::{Result, WrapErr, bail},
    jayspread_core::{
        config::{self, Effect},
        id::Revision,
    },
    jayspread_net::clock,
    jayspread_schema::{
        config::{Change, Record, Signed, change, record},
        settings,
    },
    prost::Message,
    std::{
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Longest wait until the log shows whether a change was accepted.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for records in one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads an entry host's settings.
pub fn read_settings(platform: &Platform) -> Result<settings::Entry> {
    let settings = settings::read_entry(&platform.settings);
    settings.map_err(|cause| UsageError(format!("could not read settings: {cause}").into()).into())
}

/// Reads an operator's private key.
pub fn read_key(file: &Path) -> Result<SigningKey> {
    let path = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|cause| UsageError(format!("{path}: could not read key: {cause}").into()))?;
    let mut seed = [0; 32];
    hex::decode_to_slice(text.trim(), &mut seed)
        .map_err(|cause| UsageError(format!("{path}: not a private key: {cause}").into()))?;
    Ok(SigningKey::from_bytes(&seed))
}

/// Creates a change with a random id and the current time.
pub fn new_change(base: Revision, operator: &str, kind: change::Kind) -> Change {
    Change {
        id: Bytes::copy_from_slice(&rand::random::<[u8; config::ID_BYTES]>()),
        base,
        operator: operator.to_owned(),
        signed_at_ms: clock::unix_ms(),
        kind: Some(kind),
    }
}

/// Reader of the platform's log.
pub struct Reader {
    /// Client of the log service.
    pub log: log::Http,
    /// State derived from the records read.
    pub projection: Projection,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Position of its record in the log.
    pub offset: log::Offset,
    /// Effect on the configuration.
    pub effect: Effect,
}

impl Reader {
    /// Reads the log to its end.
    pub async fn open(settings: &settings::Entry) -> Result<Self> {
        let operators = settings.operators.iter().map(|o| o.key);
        let mut reader = Self {
            log: log::Http::new(settings.log, settings.timing.call_timeout),
            projection: Projection::new(operators),
        };
        while reader.read_page(Duration::ZERO, |_, _, _| {}).await? > 0 {}
        Ok(reader)
    }

    /// Reads one page, calls `on_record` for each record, and returns the number of records. A
    /// truncated log counts as one record, so that callers read on.
    pub async fn read_page(
        &mut self,
        wait: Duration,
        mut on_record: impl FnMut(&log::Entry, &Outcome, &Projection),
    ) -> Result<usize> {
        let page = self.log.read(self.projection.next_offset, wait).await;
        match page.wrap_err("could not read the log")? {
            Page::Truncated(first) => {
                self.projection.skip_to(first);
                Ok(1)
            }
            Page::Records(entries, _) => {
                for entry in &entries {
                    let outcome = self.projection.apply(entry);
                    on_record(entry, &outcome, &self.projection);
                }
                Ok(entries.len())
            }
        }
    }

    /// Appends a signed change and waits until the log shows whether it was accepted. After a
    /// failed append the record is searched by its bytes, and appended again only if it is missing.
    pub async fn append(&mut self, signed: &Signed) -> Result<Accepted> {
        let record = Record {
            kind: Some(record::Kind::Signed(signed.clone())),
        };
        let bytes = Bytes::from(record.encode_to_vec());
        let started_at = Instant::now();
        loop {
            let appended = self.log.append(bytes.clone()).await;
            let wait = if appended.is_ok() {
                READ_WAIT
            } else {
                Duration::ZERO
            };
            if let Some(result) = self
                .find(&bytes, wait, appended.is_ok(), started_at)
                .await?
            {
                return result;
            }
            if started_at.elapsed() > CONFIRMATION_TIMEOUT {
                let cause = appended.err().map(|e| e.to_string()).unwrap_or_default();
                bail!("the log is unavailable; the change may or may not be in it: {cause}");
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reads until the record is found. Returns `None` after a failed read, or at the end of the
    /// log unless the record is known to be appended.
    async fn find(
        &mut self,
        bytes: &Bytes,
        wait: Duration,
        is_appended: bool,
        started_at: Instant,
    ) -> Result<Option<Result<Accepted>>> {
        loop {
            let mut result = None;
            let page = self
                .read_page(wait, |entry, outcome, _| {
                    if entry.bytes == *bytes && result.is_none() {
                        result = Some(acceptance(entry.offset, outcome));
                    }
                })
                .await;
            if result.is_some() {
                return Ok(result);
            }
            match page {
                Ok(0) if !is_appended => return Ok(None),
                Ok(_) => {}
                Err(_) => return Ok(None),
            }
            if started_at.elapsed() > CONFIRMATION_TIMEOUT {
                bail!("the change did not appear in the log in time");
            }
        }
    }
}

fn acceptance(offset: log::Offset, outcome: &Outcome) -> Result<Accepted> {
    match outcome {
        Outcome::Accepted(revision, effect) => Ok(Accepted {
            revision: *revision,
            offset,
            effect: effect.clone(),
        }),
        Outcome::Rejected(reason) => bail!("refused: {reason}"),
        other => bail!("refused: {other:?}"),
    }
}

/// Signs a change based on the latest revision, appends it and prints the result.
pub async fn submit(
    platform: &Platform,
    signer: &Signer,
    kind: change::Kind,
    output: Output,
) -> Result<Accepted> {
    let settings = read_settings(platform)?;
    let key = read_key(&signer.key)?;
    let mut reader = Reader::open(&settings).await?;
    let base = reader.projection.config.revision();
    let signed = config::sign(&new_change(base, &signer.operator, kind), &key);
    let accepted = reader.append(&signed).await?;
    print_accepted(&accepted, output);
    Ok(accepted)
}

/// Prints an accepted change.
pub fn print_accepted(accepted: &Accepted, output: Output) {
    if output.json {
        let line = serde_json::json!({
            "accepted": true,
            "revision": accepted.revision,
            "offset": accepted.offset,
            "effect": accepted.effect.to_string(),
        });
        println!("{line}");
        return;
    }
    println!(
        "accepted revision={} offset={}",
        accepted.revision, accepted.offset
    );
}
