//! Command line of `jayspread`; the doc comments are its help.

use {
    clap::{Args, Parser, Subcommand},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

/// Weight distribution system for bursts: entry host and operators' commands.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "jayspread", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Run the process of an entry host.
    Entry(Entry),
    /// Run the process of an entry host on the users' platform.
    Serve(Serve),
    /// Make, check, sign and roll versioned bundles.
    #[command(subcommand)]
    Bundle(Bundle),
    /// Take data centres out and bring them back.
    #[command(subcommand)]
    DataCentre(DataCentre),
    /// Make keys.
    #[command(subcommand)]
    Key(Key),
    /// Print the state of a running process.
    Dump(Dump),
    /// Work with settings files.
    #[command(subcommand)]
    Settings(Settings),
    /// Print completions for a shell.
    Completions(Completions),
}

/// Run the process of an entry host.
#[derive(Debug)]
#[derive(Args)]
pub struct Entry {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Run the process of an entry host on the users' platform.
#[derive(Debug)]
#[derive(Args)]
pub struct Serve {
    /// Settings file, JSON with comments; without it, the one that the platform names.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}

/// Where operators' commands find the platform and whose signatures count.
#[derive(Debug)]
#[derive(Args)]
pub struct Platform {
    /// Settings file of an entry host.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// How results are printed.
#[derive(Debug, Clone, Copy)]
#[derive(Args)]
pub struct Output {
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Who signs a change.
#[derive(Debug)]
#[derive(Args)]
pub struct Signer {
    /// File with the operator's private key.
    #[arg(long, value_name = "FILE")]
    pub key: PathBuf,
    /// Name of the operator.
    #[arg(long, default_value = "operator")]
    pub operator: String,
}

/// Make, check, sign and roll versioned bundles.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Bundle {
    /// Make a bundle from a description and files of weights.
    New(BundleNew),
    /// Check a bundle.
    Check(BundleCheck),
    /// Sign a bundle as the next change.
    Sign(BundleSign),
    /// Roll a signed bundle, or roll back to an earlier version.
    Roll(BundleRoll),
    /// Show what is in force and how far it has come.
    Status(BundleStatus),
    /// Show the changes in the log.
    History(BundleHistory),
}

/// Make a bundle from a description and files of weights.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleNew {
    /// Description: JSON with comments, naming files of weights.
    #[arg(value_name = "DESCRIPTION")]
    pub description: PathBuf,
    /// Bundle file to write.
    #[arg(long, short, value_name = "FILE")]
    pub output: PathBuf,
    /// Weight store to upload the chunks to.
    #[arg(long, value_name = "IP:PORT")]
    pub store: Option<SocketAddr>,
}

/// Check a bundle.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleCheck {
    /// Bundle file.
    #[arg(value_name = "FILE")]
    pub bundle: PathBuf,
}

/// Sign a bundle as the next change.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleSign {
    /// Bundle file.
    #[arg(value_name = "FILE")]
    pub bundle: PathBuf,
    /// Signed file to write.
    #[arg(long, short, value_name = "FILE")]
    pub output: PathBuf,
    /// Revision that the change is made from; read from the log when absent.
    #[arg(long)]
    pub base: Option<u64>,
    /// Where to read the revision.
    #[command(flatten)]
    pub platform: Platform,
    /// Who signs.
    #[command(flatten)]
    pub signer: Signer,
}

/// Roll a signed bundle, or roll back to an earlier version.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleRoll {
    /// Signed file.
    #[arg(value_name = "FILE", required_unless_present = "back")]
    pub signed: Option<PathBuf>,
    /// Roll back to this version instead; needs --key.
    #[arg(
        long,
        value_name = "VERSION",
        conflicts_with = "signed",
        requires = "key"
    )]
    pub back: Option<String>,
    /// File with the operator's private key, for --back.
    #[arg(long, value_name = "FILE")]
    pub key: Option<PathBuf>,
    /// Wait until every backend server that the entry host sees serves the version.
    #[arg(long)]
    pub wait: bool,
    /// Longest wait, seconds.
    #[arg(long, default_value_t = 600)]
    pub limit_s: u64,
    /// Where to find the platform.
    #[command(flatten)]
    pub platform: Platform,
    /// How to print.
    #[command(flatten)]
    pub output: Output,
}

/// Show what is in force and how far it has come.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleStatus {
    /// Where to find the platform and the entry host.
    #[command(flatten)]
    pub platform: Platform,
    /// How to print.
    #[command(flatten)]
    pub output: Output,
}

/// Show the changes in the log.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleHistory {
    /// Where to find the platform.
    #[command(flatten)]
    pub platform: Platform,
    /// How to print.
    #[command(flatten)]
    pub output: Output,
}

/// Take data centres out and bring them back.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum DataCentre {
    /// Take a data centre out: it gets no new work.
    Out(DataCentreChange),
    /// Bring a data centre back.
    In(DataCentreChange),
    /// List data centres and whether they are out.
    List(BundleStatus),
}

/// Move a data centre.
#[derive(Debug)]
#[derive(Args)]
pub struct DataCentreChange {
    /// Name of the data centre.
    pub name: String,
    /// Who signs.
    #[command(flatten)]
    pub signer: Signer,
    /// Where to find the platform.
    #[command(flatten)]
    pub platform: Platform,
    /// How to print.
    #[command(flatten)]
    pub output: Output,
}

/// Make keys.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Key {
    /// Make an operator's key; prints the public key for the settings.
    New(KeyNew),
    /// Make a certificate authority for the hosts.
    Authority(KeyAuthority),
    /// Issue a certificate and key for a host.
    Host(KeyHost),
}

/// Make an operator's key.
#[derive(Debug)]
#[derive(Args)]
pub struct KeyNew {
    /// File to write the private key to.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

/// Make a certificate authority for the hosts.
#[derive(Debug)]
#[derive(Args)]
pub struct KeyAuthority {
    /// Folder to write authority.pem and authority.key to.
    #[arg(value_name = "FOLDER")]
    pub folder: PathBuf,
}

/// Issue a certificate and key for a host.
#[derive(Debug)]
#[derive(Args)]
pub struct KeyHost {
    /// Name of the host.
    pub host: String,
    /// Folder with the authority, to which HOST.pem and HOST.key are written.
    #[arg(value_name = "FOLDER")]
    pub folder: PathBuf,
}

/// Print the state of a running process.
#[derive(Debug)]
#[derive(Args)]
pub struct Dump {
    /// Administration address of the process.
    #[arg(value_name = "IP:PORT")]
    pub admin: SocketAddr,
}

/// Work with settings files.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Settings {
    /// Check a settings file of either process.
    Check(SettingsCheck),
}

/// Check a settings file of either process.
#[derive(Debug)]
#[derive(Args)]
pub struct SettingsCheck {
    /// Settings file.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

/// Print completions for a shell.
#[derive(Debug)]
#[derive(Args)]
pub struct Completions {
    /// Shell.
    pub shell: Shell,
}
