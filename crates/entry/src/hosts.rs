//! Client of the platform's host list, which may be out of date.

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

/// Largest response with the host list.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Host list as entry hosts use it.
pub trait Hosts: Send + Sync + 'static {
    /// Reads the list; malformed entries are skipped and counted.
    fn list(&self) -> BoxFuture<'_, Result<List, Error>>;
}

/// Content of the host list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// Hosts with valid entries.
    pub members: Vec<Member>,
    /// Number of malformed entries.
    pub malformed: usize,
}

/// JSON entry of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostJson {
    /// Name of the host.
    pub host: String,
    /// Role: "entry" or "agent".
    pub role: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the region.
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

/// HTTP client of the host list.
pub struct Http {
    client: Client,
}

impl Http {
    /// Creates the client; a call takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(address, timeout),
        }
    }
}

impl Hosts for Http {
    fn list(&self) -> BoxFuture<'_, Result<List, Error>> {
        Box::pin(async {
            let call = self
                .client
                .fetch(Method::GET, "/hosts", Bytes::new(), MAX_LIST_BYTES);
            let entries: Vec<serde_json::Value> = serde_json::from_slice(&call.await?)
                .map_err(|cause| Error::Malformed(cause.to_string().into()))?;
            let total = entries.len();
            let members: Vec<Member> = entries.into_iter().filter_map(parse_member).collect();
            let malformed = total - members.len();
            Ok(List { members, malformed })
        })
    }
}

fn parse_member(value: serde_json::Value) -> Option<Member> {
    let entry: HostJson = serde_json::from_value(value).ok()?;
    let role = match entry.role.as_str() {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        _ => return None,
    };
    let names = [&entry.host, &entry.data_centre, &entry.region];
    if names
        .iter()
        .any(|name| bundle::check_name("", name).is_err())
    {
        return None;
    }
    entry.address.parse::<SocketAddr>().ok()?;
    Some(Member {
        leaving: entry.state == "leaving",
        host: entry.host,
        data_centre: entry.data_centre,
        region: entry.region,
        role: role.into(),
        address: entry.address,
        service: entry.service,
    })
}
