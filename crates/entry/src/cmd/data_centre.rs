//! `jayspread data-centre out` and `in`: takes a data centre out of service, or returns it.

use {
    crate::{args::DataCentreChange, cmd::operator},
    eyre::Result,
    jayspread_schema::config::change::Kind,
};

impl DataCentreChange {
    /// Takes the data centre out of service.
    pub async fn drain(&self) -> Result<()> {
        self.submit(Kind::DataCentreOut(self.name.clone())).await
    }

    /// Returns the data centre to service.
    pub async fn restore(&self) -> Result<()> {
        self.submit(Kind::DataCentreIn(self.name.clone())).await
    }

    async fn submit(&self, kind: Kind) -> Result<()> {
        operator::submit(&self.platform, &self.signer, kind, self.output).await?;
        Ok(())
    }
}
