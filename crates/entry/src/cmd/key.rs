//! `jayspread key`: creates keys of operators and certificates of hosts.

use {
    crate::{
        args::{KeyAuthority, KeyHost, KeyNew},
        cmd::{Run, UsageError},
    },
    ed25519_dalek::SigningKey,
    eyre::{Result, WrapErr},
    jayspread_core::bundle,
    jayspread_net::cert::Authority,
    std::{
        fs::{self, OpenOptions},
        io::Write,
        os::unix::fs::OpenOptionsExt,
        path::Path,
    },
};

/// File mode of private keys.
const PRIVATE_FILE_MODE: u32 = 0o600;

impl Run for KeyNew {
    async fn run(&self) -> Result<()> {
        let key = SigningKey::from_bytes(&rand::random());
        write_private(&self.file, &format!("{}\n", hex::encode(key.to_bytes())))?;
        println!("{}", hex::encode(key.verifying_key().to_bytes()));
        Ok(())
    }
}

impl Run for KeyAuthority {
    async fn run(&self) -> Result<()> {
        let authority = Authority::create().wrap_err("could not create the authority")?;
        fs::create_dir_all(&self.folder)
            .wrap_err_with(|| format!("could not create {}", self.folder.display()))?;
        write_private(&self.folder.join("authority.key"), &authority.key)?;
        write_public(&self.folder.join("authority.pem"), &authority.certificate)
    }
}

impl Run for KeyHost {
    async fn run(&self) -> Result<()> {
        bundle::check_name("host", &self.host)
            .map_err(|cause| UsageError(cause.to_string().into()))?;
        let read_file = |name: &str| {
            let file = self.folder.join(name);
            fs::read_to_string(&file)
                .map_err(|cause| UsageError(format!("{}: {cause}", file.display()).into()))
        };
        let authority =
            Authority::from_pem(&read_file("authority.pem")?, &read_file("authority.key")?)
                .wrap_err("could not open the authority")?;
        let pair = authority
            .issue(&self.host)
            .wrap_err("could not issue the certificate")?;
        write_private(&self.folder.join(format!("{}.key", self.host)), &pair.key)?;
        write_public(
            &self.folder.join(format!("{}.pem", self.host)),
            &pair.certificate,
        )
    }
}

/// Creates a file that only its owner may read; fails if the file exists.
fn write_private(file: &Path, text: &str) -> Result<()> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(PRIVATE_FILE_MODE);
    let mut opened = options
        .open(file)
        .wrap_err_with(|| format!("could not create {}", file.display()))?;
    opened
        .write_all(text.as_bytes())
        .wrap_err_with(|| format!("could not write {}", file.display()))
}

fn write_public(file: &Path, text: &str) -> Result<()> {
    fs::write(file, text).wrap_err_with(|| format!("could not write {}", file.display()))
}
