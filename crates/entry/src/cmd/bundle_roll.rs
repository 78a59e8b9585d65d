//! `jayspread bundle roll`: rolls out a signed bundle, or rolls back to an earlier version.

use {
    crate::{
        args::{BundleRoll, Signer},
        cmd::{Run, UsageError, bundle_status, operator},
    },
    eyre::{Result, bail},
    indicatif::{ProgressBar, ProgressStyle},
    jayspread_core::config::Effect,
    jayspread_schema::config::{Signed, change::Kind},
    prost::Message,
    std::{
        fs,
        io::IsTerminal,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Interval between queries of the roll-out's progress.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl Run for BundleRoll {
    async fn run(&self) -> Result<()> {
        let accepted = match (&self.signed, &self.back, &self.key) {
            (Some(file), _, _) => self.roll(file).await?,
            (None, Some(version), Some(key)) => {
                let signer = Signer {
                    key: key.clone(),
                    operator: "operator".to_owned(),
                };
                let kind = Kind::RollBack(version.clone());
                operator::submit(&self.platform, &signer, kind, self.output).await?
            }
            _ => return Err(UsageError("give a signed file, or --back with --key".into()).into()),
        };
        if !self.wait {
            return Ok(());
        }
        match accepted.effect {
            Effect::Roll(version) | Effect::RollBack(version) => {
                self.wait_until_served(&version).await
            }
            _ => Ok(()),
        }
    }
}

impl BundleRoll {
    async fn roll(&self, file: &Path) -> Result<operator::Accepted> {
        let usage_error = |cause: String| UsageError(format!("{}: {cause}", file.display()).into());
        let bytes = fs::read(file).map_err(|cause| usage_error(cause.to_string()))?;
        let signed = Signed::decode(&bytes[..])
            .map_err(|cause| usage_error(format!("not a signed bundle: {cause}")))?;
        let settings = operator::read_settings(&self.platform)?;
        let mut reader = operator::Reader::open(&settings).await?;
        let accepted = reader.append(&signed).await?;
        operator::print_accepted(&accepted, self.output);
        Ok(accepted)
    }

    /// Shows the progress of the roll-out until every backend server serves the version.
    async fn wait_until_served(&self, version: &str) -> Result<()> {
        let settings = operator::read_settings(&self.platform)?;
        let started_at = Instant::now();
        let bar = (std::io::stderr().is_terminal() && !self.output.json).then(progress_bar);
        let mut last_shown = None;
        loop {
            let progress = bundle_status::progress(&settings, version).await;
            if let Ok(progress) = &progress
                && last_shown.as_ref() != Some(progress)
            {
                match &bar {
                    Some(bar) => {
                        bar.set_length(progress.total as u64);
                        bar.set_position(progress.serving as u64);
                        bar.set_message(progress.pause_reason.clone());
                    }
                    None => println!("{}", progress.to_line(version, self.output.json)),
                }
                if progress.is_complete() {
                    return Ok(());
                }
                last_shown = Some(progress.clone());
            }
            if started_at.elapsed() > Duration::from_secs(self.limit_s) {
                bail!(
                    "version {version} is not served by all backend servers after {} s",
                    self.limit_s
                );
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn progress_bar() -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} serving {elapsed} {msg}");
    let bar = ProgressBar::new(0);
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}
