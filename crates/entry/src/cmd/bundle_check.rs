//! `jayspread bundle check`: checks a bundle file.

use {
    crate::{
        args::BundleCheck,
        cmd::{Run, UsageError},
    },
    eyre::Result,
    jayspread_core::bundle::Bundle,
    jayspread_schema::config::Bundle as Raw,
    prost::Message,
    std::{fs, path::Path},
};

impl Run for BundleCheck {
    async fn run(&self) -> Result<()> {
        let (_, bundle) = read(&self.bundle)?;
        let bytes: u64 = bundle.artifacts.values().map(|a| a.size).sum();
        println!(
            "bundle ok version={} artifacts={} bytes={bytes} services={} organisations={} data_centres={}",
            bundle.version,
            bundle.artifacts.len(),
            bundle.services.len(),
            bundle.organisations.len(),
            bundle.data_centres.len()
        );
        Ok(())
    }
}

/// Reads and checks a bundle file; returns its encoded form and the checked bundle.
pub fn read(path: &Path) -> Result<(Raw, Bundle)> {
    let usage_error = |cause: String| UsageError(format!("{}: {cause}", path.display()).into());
    let bytes = fs::read(path).map_err(|cause| usage_error(cause.to_string()))?;
    let raw =
        Raw::decode(&bytes[..]).map_err(|cause| usage_error(format!("not a bundle: {cause}")))?;
    let bundle = Bundle::check(&raw).map_err(|cause| usage_error(cause.to_string()))?;
    Ok((raw, bundle))
}
