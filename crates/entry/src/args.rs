//! Command line of `jayspread`; the doc comments are its help texts.

use {
    clap::{Args, Parser, Subcommand},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf},
};

/// Request routing and weight distribution: entry host process and operators' commands.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "jayspread", version)]
pub struct Cli {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the binary.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Run the process of an entry host.
    Entry(Entry),
    /// Run the process of an entry host on the users' platform.
    Serve(Serve),
    /// Create, check, sign and roll out versioned bundles.
    #[command(subcommand)]
    Bundle(Bundle),
    /// Take data centres out of service and return them to service.
    #[command(subcommand)]
    DataCentre(DataCentre),
    /// Create keys and certificates.
    #[command(subcommand)]
    Key(Key),
    /// Print the state of a running process.
    Dump(Dump),
    /// Print the way of a request through the logs of all processes, and the cause of its outcome.
    Explain(Explain),
    /// Check settings files.
    #[command(subcommand)]
    Settings(Settings),
    /// Print a completion script for a shell.
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
    /// Settings file, JSON with comments [default: the file that the platform provides]
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Check the settings, then exit.
    #[arg(long)]
    pub check: bool,
}

/// Print the way of a request through the logs of all processes, and the cause of its outcome.
#[derive(Debug)]
#[derive(Args)]
pub struct Explain {
    /// Log files; a host is named in its lines or by the name of its file.
    #[arg(value_name = "LOG", required = true)]
    pub logs: Vec<PathBuf>,
    /// Id of the request.
    #[arg(long, value_name = "ID")]
    pub request: Option<Box<str>>,
    /// Only lines about this engine.
    #[arg(long, value_name = "ID")]
    pub engine: Option<Box<str>>,
    /// Only lines of this host.
    #[arg(long, value_name = "NAME")]
    pub host: Option<Box<str>>,
    /// Only lines from the first to the last time, as the logs write them.
    #[arg(long, value_names = ["FIRST", "LAST"], num_args = 2)]
    pub between: Vec<Box<str>>,
}

/// Settings that give the platform's addresses and the accepted operators' keys.
#[derive(Debug)]
#[derive(Args)]
pub struct Platform {
    /// Settings file of an entry host.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Output format.
#[derive(Debug, Clone, Copy)]
#[derive(Args)]
pub struct Output {
    /// Print results as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Operator who signs a change.
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

/// Create, check, sign and roll out versioned bundles.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Bundle {
    /// Create a bundle from a description and weight files.
    New(BundleNew),
    /// Check a bundle.
    Check(BundleCheck),
    /// Sign a bundle as the next configuration change.
    Sign(BundleSign),
    /// Roll out a signed bundle, or roll back to an earlier version.
    Roll(BundleRoll),
    /// Show the active version and the progress of its roll-out.
    Status(BundleStatus),
    /// Show the configuration changes in the log.
    History(BundleHistory),
}

/// Create a bundle from a description and weight files.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleNew {
    /// Description file, JSON with comments, that names the weight files.
    #[arg(value_name = "DESCRIPTION")]
    pub description: PathBuf,
    /// Bundle file to write.
    #[arg(long, short, value_name = "FILE")]
    pub output: PathBuf,
    /// Address of the weight store to upload the chunks to.
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

/// Sign a bundle as the next configuration change.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleSign {
    /// Bundle file.
    #[arg(value_name = "FILE")]
    pub bundle: PathBuf,
    /// Signed bundle file to write.
    #[arg(long, short, value_name = "FILE")]
    pub output: PathBuf,
    /// Revision that the change is based on [default: the latest revision in the log]
    #[arg(long)]
    pub base: Option<u64>,
    /// Platform to read the revision from.
    #[command(flatten)]
    pub platform: Platform,
    /// Operator who signs the bundle.
    #[command(flatten)]
    pub signer: Signer,
}

/// Roll out a signed bundle, or roll back to an earlier version.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleRoll {
    /// Signed bundle file.
    #[arg(value_name = "FILE", required_unless_present = "back")]
    pub signed: Option<PathBuf>,
    /// Roll back to this version instead; requires --key.
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
    /// Wait until every backend server known to the entry host serves the version.
    #[arg(long)]
    pub wait: bool,
    /// Longest time to wait, in seconds.
    #[arg(long, default_value_t = 600)]
    pub limit_s: u64,
    /// Platform to append the change to.
    #[command(flatten)]
    pub platform: Platform,
    /// Output format.
    #[command(flatten)]
    pub output: Output,
}

/// Show the active version and the progress of its roll-out.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleStatus {
    /// Platform and entry host to query.
    #[command(flatten)]
    pub platform: Platform,
    /// Output format.
    #[command(flatten)]
    pub output: Output,
}

/// Show the configuration changes in the log.
#[derive(Debug)]
#[derive(Args)]
pub struct BundleHistory {
    /// Platform to read the log from.
    #[command(flatten)]
    pub platform: Platform,
    /// Output format.
    #[command(flatten)]
    pub output: Output,
}

/// Take data centres out of service and return them to service.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum DataCentre {
    /// Take a data centre out of service; it gets no new requests.
    Out(DataCentreChange),
    /// Return a data centre to service.
    In(DataCentreChange),
    /// List the data centres with their state.
    List(BundleStatus),
}

/// Take a data centre out of service or return it to service.
#[derive(Debug)]
#[derive(Args)]
pub struct DataCentreChange {
    /// Name of the data centre.
    pub name: String,
    /// Operator who signs the change.
    #[command(flatten)]
    pub signer: Signer,
    /// Platform to append the change to.
    #[command(flatten)]
    pub platform: Platform,
    /// Output format.
    #[command(flatten)]
    pub output: Output,
}

/// Create keys and certificates.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Key {
    /// Create an operator's key and print its public key for the settings.
    New(KeyNew),
    /// Create a certificate authority for the hosts.
    Authority(KeyAuthority),
    /// Issue a certificate and key for a host.
    Host(KeyHost),
}

/// Create an operator's key and print its public key for the settings.
#[derive(Debug)]
#[derive(Args)]
pub struct KeyNew {
    /// File to write the private key to.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

/// Create a certificate authority for the hosts.
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
    /// Folder with the authority's files; HOST.pem and HOST.key are written to it.
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

/// Check settings files.
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Settings {
    /// Check a settings file of an entry host or an agent.
    Check(SettingsCheck),
}

/// Check a settings file of an entry host or an agent.
#[derive(Debug)]
#[derive(Args)]
pub struct SettingsCheck {
    /// Settings file.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

/// Print a completion script for a shell.
#[derive(Debug)]
#[derive(Args)]
pub struct Completions {
    /// Shell to print the script for.
    pub shell: Shell,
}
