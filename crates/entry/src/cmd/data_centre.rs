//! `jayspread data-centre out` and `in`.

use {
    crate::{args::DataCentreMove, cmd::operator},
    eyre::Result,
    jayspread_schema::config::change::Kind,
};

impl DataCentreMove {
    /// Takes the data centre out.
    pub async fn out(&self) -> Result<()> {
        self.change(Kind::DataCentreOut(self.name.clone())).await
    }

    /// Brings the data centre back.
    pub async fn back(&self) -> Result<()> {
        self.change(Kind::DataCentreIn(self.name.clone())).await
    }

    async fn change(&self, kind: Kind) -> Result<()> {
        operator::make(&self.platform, &self.signer, kind, self.output).await?;
        Ok(())
    }
}
