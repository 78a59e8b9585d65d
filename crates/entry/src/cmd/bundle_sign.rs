//! `jayspread bundle sign`: signs a bundle as the next configuration change.

use {
    crate::{
        args::BundleSign,
        cmd::{Run, bundle_check, operator},
    },
    eyre::{Result, WrapErr},
    jayspread_core::config,
    jayspread_schema::config::change::Kind,
    prost::Message,
    std::fs,
};

impl Run for BundleSign {
    async fn run(&self) -> Result<()> {
        let (raw, bundle) = bundle_check::read(&self.bundle)?;
        let key = operator::read_key(&self.signer.key)?;
        let base = match self.base {
            Some(base) => base,
            None => {
                let settings = operator::read_settings(&self.platform)?;
                let reader = operator::Reader::open(&settings).await?;
                reader.projection.config.revision()
            }
        };
        let change = operator::new_change(base, &self.signer.operator, Kind::Roll(raw));
        let signed = config::sign(&change, &key);
        fs::write(&self.output, signed.encode_to_vec())
            .wrap_err_with(|| format!("could not write {}", self.output.display()))?;
        println!("signed version={} base={base}", bundle.version);
        Ok(())
    }
}
