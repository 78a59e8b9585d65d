//! What operators' commands share: the log, keys, and appending a change.

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

/// Longest wait for the log's word on a change.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay before a failed call is made again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads an entry host's settings.
pub fn read_settings(platform: &Platform) -> Result<settings::Entry> {
    let read = settings::read_entry(&platform.settings);
    read.map_err(|cause| UsageError(format!("could not read settings: {cause}").into()).into())
}

/// Reads an operator's private key.
pub fn read_key(file: &Path) -> Result<SigningKey> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|cause| UsageError(format!("{name}: could not read key: {cause}").into()))?;
    let mut seed = [0; 32];
    hex::decode_to_slice(text.trim(), &mut seed)
        .map_err(|cause| UsageError(format!("{name}: not a private key: {cause}").into()))?;
    Ok(SigningKey::from_bytes(&seed))
}

/// A change with a fresh id.
pub fn new_change(base: Revision, operator: &str, kind: change::Kind) -> Change {
    Change {
        id: Bytes::copy_from_slice(&rand::random::<[u8; config::ID_BYTES]>()),
        base,
        operator: operator.to_owned(),
        signed_at_ms: clock::unix_ms(),
        kind: Some(kind),
    }
}

/// The platform's log as an operator reads it.
pub struct Reader {
    /// Edge to the log.
    pub log: log::Http,
    /// Fold of what was read.
    pub projection: Projection,
}

/// The log's word on a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Position of its record.
    pub offset: log::Offset,
    /// What it did.
    pub effect: Effect,
}

impl Reader {
    /// Reads the log to its end.
    pub async fn open(settings: &settings::Entry) -> Result<Self> {
        let operators = settings.operators.iter().map(|o| o.key);
        let mut reader = Self {
            log: log::Http::new(settings.log, settings.timing.call),
            projection: Projection::new(operators),
        };
        while reader.read_page(Duration::ZERO, |_, _, _| {}).await? > 0 {}
        Ok(reader)
    }

    /// Reads one page, shows each record to `seen`, and returns the number of records.
    pub async fn read_page(
        &mut self,
        wait: Duration,
        mut seen: impl FnMut(&log::Entry, &Outcome, &Projection),
    ) -> Result<usize> {
        let read = self.log.read(self.projection.next_offset, wait).await;
        match read.wrap_err("could not read the log")? {
            Page::Truncated(first) => {
                self.projection.skip_to(first);
                Ok(1)
            }
            Page::Records(entries, _) => {
                for entry in &entries {
                    let outcome = self.projection.apply(entry);
                    seen(entry, &outcome, &self.projection);
                }
                Ok(entries.len())
            }
        }
    }

    /// Appends a signed change and waits for the log's word. An append whose answer was lost is
    /// found again by its bytes, and made again only when it is not there.
    pub async fn append(&mut self, signed: &Signed) -> Result<Accepted> {
        let record = Record {
            kind: Some(record::Kind::Signed(signed.clone())),
        };
        let bytes = Bytes::from(record.encode_to_vec());
        let began = Instant::now();
        loop {
            let appended = self.log.append(bytes.clone()).await;
            let wait = if appended.is_ok() {
                READ_WAIT
            } else {
                Duration::ZERO
            };
            if let Some(word) = self.find(&bytes, wait, appended.is_ok(), began).await? {
                return word;
            }
            if began.elapsed() > CONFIRMATION_TIMEOUT {
                let cause = appended.err().map(|e| e.to_string()).unwrap_or_default();
                bail!("the log is out of reach, the change may or may not be in it: {cause}");
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reads on until the record is found; nothing when it is not there.
    async fn find(
        &mut self,
        bytes: &Bytes,
        wait: Duration,
        certain: bool,
        began: Instant,
    ) -> Result<Option<Result<Accepted>>> {
        loop {
            let mut word = None;
            let read = self
                .read_page(wait, |entry, outcome, _| {
                    if entry.bytes == *bytes && word.is_none() {
                        word = Some(acceptance(entry.offset, outcome));
                    }
                })
                .await;
            if word.is_some() {
                return Ok(word);
            }
            match read {
                Ok(0) if !certain => return Ok(None),
                Ok(_) => {}
                Err(_) => return Ok(None),
            }
            if began.elapsed() > CONFIRMATION_TIMEOUT {
                bail!("the log does not show the change");
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

/// Signs a change made from the present revision, appends it and prints the log's word.
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

/// Prints the log's word on a change.
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
