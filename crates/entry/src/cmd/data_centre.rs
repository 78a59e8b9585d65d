//! `jayspread data-centre out` and `in`.

use {
    crate::{args::DataCentreChange, cmd::operator},
    eyre::Result,
    jayspread_schema::config::change::Kind,
};

impl DataCentreChange {
    /// Takes the data centre out.
    pub async fn drain(&self) -> Result<()> {
        self.change(Kind::DataCentreOut(self.name.clone())).await
    }

    /// Brings the data centre back.
    pub async fn restore(&self) -> Result<()> {
        self.change(Kind::DataCentreIn(self.name.clone())).await
    }

    async fn change(&self, kind: Kind) -> Result<()> {
        operator::submit(&self.platform, &self.signer, kind, self.output).await?;
        Ok(())
    }
}
