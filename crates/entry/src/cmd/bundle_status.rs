//! `jayspread bundle status`: shows the active version and the progress of its roll-out.
//!
//! Also `jayspread data-centre list`, which takes the same arguments.

use {
    crate::{
        args::BundleStatus,
        cmd::{Run, operator},
    },
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http::Method,
    jayspread_net::http::Client,
    jayspread_schema::settings,
    serde_json::Value,
};

/// Largest state dump.
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

/// Progress of a roll-out, as one entry host sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of backend servers that load weights.
    pub total: usize,
    /// Number of those that serve the version.
    pub serving: usize,
    /// Number of chunks that they have staged, and number that they need.
    pub chunks: (u64, u64),
    /// Why the roll-out is paused; empty when it is not.
    pub pause_reason: String,
    /// Whether the version is active at the entry host.
    pub is_active: bool,
}

impl Progress {
    /// Whether every backend server serves the version.
    pub fn is_complete(&self) -> bool {
        self.is_active && self.total > 0 && self.serving == self.total
    }

    /// Formats the progress as one line, either JSON or text.
    pub fn to_line(&self, version: &str, json: bool) -> String {
        let (staged, wanted) = self.chunks;
        if json {
            let line = serde_json::json!({
                "version": version, "serving": self.serving, "of": self.total,
                "chunks": staged, "chunks_wanted": wanted, "pause": self.pause_reason,
            });
            return line.to_string();
        }
        let mut line = format!(
            "version={version} serving={}/{} chunks={staged}/{wanted}",
            self.serving, self.total
        );
        if !self.pause_reason.is_empty() {
            line.push_str(&format!(" pause={:?}", self.pause_reason));
        }
        line
    }
}

/// Queries the entry host for the progress of `version`.
pub async fn progress(settings: &settings::Entry, version: &str) -> Result<Progress> {
    let dump = fetch_dump(settings).await?;
    let mut progress = Progress {
        is_active: dump["version"] == version,
        ..Progress::default()
    };
    let empty = serde_json::Map::new();
    let backends = dump["backend_servers"].as_object().unwrap_or(&empty);
    for backend in backends.values() {
        if backend["wanted"].as_str().unwrap_or_default().is_empty() {
            continue;
        }
        progress.total += 1;
        let is_serving = backend["serving"] == version && backend["phase"] == "PHASE_SERVING";
        progress.serving += usize::from(is_serving);
        progress.chunks.0 += backend["chunks"].as_u64().unwrap_or(0);
        progress.chunks.1 += backend["chunks_wanted"].as_u64().unwrap_or(0);
    }
    let pause_reasons = dump["pauses"].as_object().unwrap_or(&empty);
    let reasons = pause_reasons
        .iter()
        .map(|(service, reason)| format!("{service}: {}", reason.as_str().unwrap_or_default()));
    progress.pause_reason = reasons.collect::<Vec<_>>().join("; ");
    Ok(progress)
}

/// Fetches the state dump of the entry host with these settings.
pub async fn fetch_dump(settings: &settings::Entry) -> Result<Value> {
    let client = Client::new(settings.listen.admin, settings.timing.call_timeout);
    let body = client
        .fetch(Method::GET, "/dump", Bytes::new(), MAX_DUMP_BYTES)
        .await;
    let body = body.wrap_err("could not read the entry host's state")?;
    serde_json::from_slice(&body).wrap_err("could not decode the entry host's state")
}

impl Run for BundleStatus {
    async fn run(&self) -> Result<()> {
        let settings = operator::read_settings(&self.platform)?;
        let reader = operator::Reader::open(&settings).await?;
        let state = reader.projection.config.state();
        let version = state.bundle.as_ref().map_or("", |b| &*b.version);
        if self.output.json {
            println!(
                "{}",
                serde_json::json!({ "revision": state.revision, "version": version, "out": state.drained })
            );
        } else {
            let drained: Vec<&str> = state.drained.iter().map(|name| &**name).collect();
            println!(
                "revision={} version={version} out={}",
                state.revision,
                drained.join(",")
            );
        }
        match progress(&settings, version).await {
            Ok(progress) => println!("{}", progress.to_line(version, self.output.json)),
            Err(cause) => eprintln!("{cause:#}"),
        }
        Ok(())
    }
}

impl BundleStatus {
    /// Lists the data centres with their state.
    pub async fn list(&self) -> Result<()> {
        let settings = operator::read_settings(&self.platform)?;
        let reader = operator::Reader::open(&settings).await?;
        let state = reader.projection.config.state();
        let Some(bundle) = &state.bundle else {
            println!("no active bundle");
            return Ok(());
        };
        for (name, region) in &bundle.data_centres {
            let availability = if state.accepts_work(name) {
                "in"
            } else {
                "out"
            };
            if self.output.json {
                println!(
                    "{}",
                    serde_json::json!({ "name": name, "region": region, "state": availability })
                );
            } else {
                println!("data_centre={name} region={region} state={availability}");
            }
        }
        Ok(())
    }
}
