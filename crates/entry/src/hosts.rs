//! Edge to the platform's list of hosts, which lags behind.

use {
    crate::log::BoxFuture,
    bytes::Bytes,
    http::Method,
    jayspread_core::bundle,
    jayspread_net::http::{Client, Error},
    jayspread_schema::wire::{Member, Role},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Largest list, bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// What entry hosts need of the host list.
pub trait Hosts: Send + Sync + 'static {
    /// Reads the list; lines that make no sense are left out and counted.
    fn list(&self) -> BoxFuture<'_, Result<List, Error>>;
}

/// Hosts that the platform lists.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// Hosts whose lines make sense.
    pub members: Vec<Member>,
    /// Lines left out.
    pub malformed: usize,
}

/// One host as JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostJson {
    /// Name of the host.
    pub host: String,
    /// Role: "entry" or "agent".
    pub role: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Peer address, `ip:port`.
    pub address: String,
    /// Service of the backend server; empty for entry hosts.
    #[serde(default)]
    pub service: String,
    /// State: "live" or "leaving".
    #[serde(default)]
    pub state: String,
}

/// Host list met over HTTP.
pub struct Http {
    client: Client,
}

impl Http {
    /// Creates the client; a call takes at most `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            client: Client::new(address, limit),
        }
    }
}

impl Hosts for Http {
    fn list(&self) -> BoxFuture<'_, Result<List, Error>> {
        Box::pin(async {
            let call = self
                .client
                .fetch(Method::GET, "/hosts", Bytes::new(), MAX_LIST_BYTES);
            let lines: Vec<serde_json::Value> = serde_json::from_slice(&call.await?)
                .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
            let total = lines.len();
            let members: Vec<Member> = lines.into_iter().filter_map(member).collect();
            let malformed = total - members.len();
            Ok(List { members, malformed })
        })
    }
}

fn member(line: serde_json::Value) -> Option<Member> {
    let line: HostJson = serde_json::from_value(line).ok()?;
    let role = match line.role.as_str() {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        _ => return None,
    };
    let named = [&line.host, &line.data_centre, &line.region];
    if named
        .iter()
        .any(|name| bundle::check_name("", name).is_err())
    {
        return None;
    }
    line.address.parse::<SocketAddr>().ok()?;
    Some(Member {
        leaving: line.state == "leaving",
        host: line.host,
        data_centre: line.data_centre,
        region: line.region,
        role: role.into(),
        address: line.address,
        service: line.service,
    })
}
