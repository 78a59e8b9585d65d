//! `jayspread dump`: prints the state of a running process.

use {
    crate::{args::Dump, cmd::Run},
    bytes::Bytes,
    eyre::{Result, WrapErr},
    http::Method,
    jayspread_net::http::Client,
    std::time::Duration,
};

/// Longest time for the request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest state dump.
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

impl Run for Dump {
    async fn run(&self) -> Result<()> {
        let client = Client::new(self.admin, TIMEOUT);
        let body = client
            .fetch(Method::GET, "/dump", Bytes::new(), MAX_DUMP_BYTES)
            .await;
        let body = body.wrap_err_with(|| format!("could not read the state of {}", self.admin))?;
        print!("{}", String::from_utf8_lossy(&body));
        Ok(())
    }
}
