//! `jayspread bundle status`: what is in force and how far it has come.

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

/// Largest state dump, bytes.
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

/// How far a roll-out has come, as one entry host sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Backend servers that load weights.
    pub total: usize,
    /// Those that serve the version.
    pub serving: usize,
    /// Chunks staged at all of them, and chunks wanted.
    pub chunks: (u64, u64),
    /// Why the roll-out waits; empty when it does not.
    pub pause: String,
    /// Whether the entry host has the version in force.
    pub in_force: bool,
}

impl Progress {
    /// Whether every backend server serves the version.
    pub fn is_complete(&self) -> bool {
        self.in_force && self.total > 0 && self.serving == self.total
    }

    /// One line for people or programs.
    pub fn to_line(&self, version: &str, json: bool) -> String {
        let (staged, wanted) = self.chunks;
        if json {
            let line = serde_json::json!({
                "version": version, "serving": self.serving, "of": self.total,
                "chunks": staged, "chunks_wanted": wanted, "pause": self.pause,
            });
            return line.to_string();
        }
        let mut line = format!(
            "version={version} serving={}/{} chunks={staged}/{wanted}",
            self.serving, self.total
        );
        if !self.pause.is_empty() {
            line.push_str(&format!(" pause={:?}", self.pause));
        }
        line
    }
}

/// Asks the entry host how far `version` has come.
pub async fn progress(settings: &settings::Entry, version: &str) -> Result<Progress> {
    let dump = fetch_dump(settings).await?;
    let mut progress = Progress {
        in_force: dump["version"] == version,
        ..Progress::default()
    };
    let empty = serde_json::Map::new();
    let backends = dump["backend_servers"].as_object().unwrap_or(&empty);
    for backend in backends.values() {
        if backend["wanted"].as_str().unwrap_or_default().is_empty() {
            continue;
        }
        progress.total += 1;
        let serves = backend["serving"] == version && backend["phase"] == "PHASE_SERVING";
        progress.serving += usize::from(serves);
        progress.chunks.0 += backend["chunks"].as_u64().unwrap_or(0);
        progress.chunks.1 += backend["chunks_wanted"].as_u64().unwrap_or(0);
    }
    let pauses = dump["pauses"].as_object().unwrap_or(&empty);
    let reasons = pauses
        .iter()
        .map(|(service, why)| format!("{service}: {}", why.as_str().unwrap_or_default()));
    progress.pause = reasons.collect::<Vec<_>>().join("; ");
    Ok(progress)
}

/// State dump of the entry host whose settings these are.
pub async fn fetch_dump(settings: &settings::Entry) -> Result<Value> {
    let client = Client::new(settings.listen.admin, settings.timing.call);
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
            let out: Vec<&str> = state.drained.iter().map(|name| &**name).collect();
            println!(
                "revision={} version={version} out={}",
                state.revision,
                out.join(",")
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
    /// Lists data centres and whether they are out.
    pub async fn list(&self) -> Result<()> {
        let settings = operator::read_settings(&self.platform)?;
        let reader = operator::Reader::open(&settings).await?;
        let state = reader.projection.config.state();
        let Some(bundle) = &state.bundle else {
            println!("no bundle in force");
            return Ok(());
        };
        for (name, region) in &bundle.data_centres {
            let place = if state.accepts_work(name) {
                "in"
            } else {
                "out"
            };
            if self.output.json {
                println!(
                    "{}",
                    serde_json::json!({ "name": name, "region": region, "state": place })
                );
            } else {
                println!("data_centre={name} region={region} state={place}");
            }
        }
        Ok(())
    }
}
