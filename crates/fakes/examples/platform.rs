//! Runs the fakes of the platform and of backend servers, so that the two binaries can be started
//! manually against them.

use {
    clap::Parser,
    eyre::{Result, WrapErr},
    jayspread_entry::hosts::HostJson,
    jayspread_fakes::{
        engine::{Behaviour, Engine, Manifests},
        hosts::Hosts,
        log::Log,
        store::Store,
    },
    std::{net::SocketAddr, path::PathBuf},
};

/// Runs fakes of the platform and of backend servers on loopback.
#[derive(Debug)]
#[derive(Parser)]
struct Args {
    /// Address of the log service.
    #[arg(long, default_value = "127.0.0.1:7000")]
    log: SocketAddr,
    /// Address of the host list.
    #[arg(long, default_value = "127.0.0.1:7001")]
    hosts: SocketAddr,
    /// Address of the weight store.
    #[arg(long, default_value = "127.0.0.1:7002")]
    store: SocketAddr,
    /// Addresses of engines.
    #[arg(long, default_values = ["127.0.0.1:7010", "127.0.0.1:7011"])]
    engine: Vec<SocketAddr>,
    /// JSON file with the entries of the host list.
    #[arg(long, value_name = "FILE")]
    list: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = Args::parse();
    let log = Log::new(1)
        .serve(args.log)
        .await
        .wrap_err("failed to start the log service")?;
    let hosts = Hosts::default();
    if let Some(file) = &args.list {
        let text = std::fs::read_to_string(file).wrap_err("failed to read the host list")?;
        let entries: Vec<HostJson> =
            serde_json::from_str(&text).wrap_err("failed to parse the host list")?;
        for entry in entries {
            hosts.set(entry);
        }
    }
    let hosts = hosts
        .serve(args.hosts)
        .await
        .wrap_err("failed to start the host list")?;
    let store = Store::new(1)
        .serve(args.store)
        .await
        .wrap_err("failed to start the weight store")?;
    let mut engines = Vec::new();
    for address in args.engine {
        let engine = Engine::new(&Manifests::default(), Behaviour::default());
        engines.push(
            engine
                .serve(address)
                .await
                .wrap_err("failed to start an engine")?,
        );
    }
    println!(
        "log={} hosts={} store={}",
        log.address(),
        hosts.address(),
        store.address()
    );
    for engine in &engines {
        println!("engine={}", engine.address());
    }
    println!("stop with Ctrl-C");
    tokio::signal::ctrl_c()
        .await
        .wrap_err("failed to wait for Ctrl-C")
}
