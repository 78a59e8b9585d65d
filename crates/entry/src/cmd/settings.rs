//! `jayspread settings check`: checks a settings file of an entry host or an agent.

use {
    crate::{
        args::SettingsCheck,
        cmd::{Run, UsageError},
    },
    eyre::Result,
    jayspread_net::cert,
    jayspread_schema::settings::{self, Tls},
    std::{fs, path::Path},
};

impl Run for SettingsCheck {
    async fn run(&self) -> Result<()> {
        let usage_error =
            |cause: String| UsageError(format!("could not read settings: {cause}").into());
        let text = fs::read_to_string(&self.file)
            .map_err(|cause| usage_error(format!("{}: {cause}", self.file.display())))?;
        let (role, tls) =
            parse(&text, &self.file).map_err(|cause| usage_error(cause.to_string()))?;
        cert::read(&tls).map_err(|cause| usage_error(cause.to_string()))?;
        println!("settings ok role={role}");
        Ok(())
    }
}

/// Parses the file as an agent's settings if it names a backend server, else as an entry host's.
fn parse(text: &str, file: &Path) -> Result<(&'static str, Tls), settings::Error> {
    let value: serde_json::Value = settings::decode(text, file)?;
    if value.get("backend").is_some() {
        let agent = settings::parse_agent(text, file)?;
        return Ok(("agent", agent.tls));
    }
    let entry = settings::parse_entry(text, file)?;
    Ok(("entry", entry.tls))
}
