//! Validation of the individual settings.

use {
    super::{
        Backend, Error, Kind, Limits, Listen, MIB, Operator, PUBLIC_KEY_BYTES, Place, Spread,
        Timing, Tls,
    },
    crate::raw,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Validates the fields of one settings file.
pub(super) struct Validator<'a> {
    pub(super) path: &'a Path,
}

impl Validator<'_> {
    pub(super) fn error(&self, field: &str, reason: impl Into<Box<str>>) -> Error {
        Error {
            file: self.path.display().to_string().into(),
            field: field.into(),
            reason: reason.into(),
        }
    }

    pub(super) fn name(&self, field: &str, value: &str) -> Result<Box<str>, Error> {
        if value.is_empty() {
            return Err(self.error(field, "is required"));
        }
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
        if !value.chars().all(is_allowed) {
            return Err(self.error(field, "may contain only letters, digits, '-' and '.'"));
        }
        Ok(value.into())
    }

    pub(super) fn address(&self, field: &str, value: &str) -> Result<SocketAddr, Error> {
        if value.is_empty() {
            return Err(self.error(field, "is required"));
        }
        let address: SocketAddr = value
            .parse()
            .map_err(|_| self.error(field, format!("'{value}' is not ip:port")))?;
        if address.port() == 0 {
            return Err(self.error(field, "port must be at least 1"));
        }
        Ok(address)
    }

    /// Returns `value`, or `default` if it is 0, after checking that it is in the inclusive range.
    pub(super) fn range(
        &self,
        field: &str,
        value: u64,
        default: u64,
        range: (u64, u64),
    ) -> Result<u64, Error> {
        let value = if value == 0 { default } else { value };
        if value < range.0 {
            return Err(self.error(field, format!("must be at least {}", range.0)));
        }
        if value > range.1 {
            return Err(self.error(field, format!("must be at most {}", range.1)));
        }
        Ok(value)
    }

    /// Like [`Validator::range`] for a duration in milliseconds.
    pub(super) fn millis(
        &self,
        field: &str,
        value: u32,
        default: u64,
        range: (u64, u64),
    ) -> Result<Duration, Error> {
        let value = self.range(field, value.into(), default, range)?;
        Ok(Duration::from_millis(value))
    }

    pub(super) fn place(
        &self,
        host: &str,
        data_centre: &str,
        region: &str,
    ) -> Result<Place, Error> {
        Ok(Place {
            host: self.name("host", host)?,
            data_centre: self.name("data_centre", data_centre)?,
            region: self.name("region", region)?,
        })
    }

    pub(super) fn listen(
        &self,
        raw: Option<&raw::Listen>,
        is_entry: bool,
    ) -> Result<Listen, Error> {
        let Some(raw) = raw else {
            return Err(self.error("listen", "is required"));
        };
        let http = match (raw.http.as_str(), is_entry) {
            (http, true) => Some(self.address("listen.http", http)?),
            ("", false) => None,
            (_, false) => return Err(self.error("listen.http", "is for entry hosts only")),
        };
        let admin = self.address("listen.admin", &raw.admin)?;
        if http == Some(admin) {
            return Err(self.error("listen.admin", "is the same as listen.http"));
        }
        Ok(Listen {
            http,
            peer: self.address("listen.peer", &raw.peer)?,
            admin,
        })
    }

    pub(super) fn tls(&self, raw: Option<&raw::Tls>) -> Result<Tls, Error> {
        let Some(raw) = raw else {
            return Err(self.error("tls", "is required"));
        };
        Ok(Tls {
            authority: self.file("tls.authority", &raw.authority)?,
            certificate: self.file("tls.certificate", &raw.certificate)?,
            key: self.file("tls.key", &raw.key)?,
        })
    }

    /// Resolves a path relative to the directory of the settings file.
    pub(super) fn file(&self, field: &str, value: &str) -> Result<PathBuf, Error> {
        if value.is_empty() {
            return Err(self.error(field, "is required"));
        }
        let base = self.path.parent().unwrap_or(Path::new(""));
        Ok(base.join(value))
    }

    pub(super) fn operators(&self, raw: &[raw::Operator]) -> Result<Vec<Operator>, Error> {
        if raw.is_empty() {
            return Err(self.error("operators", "must name at least one operator"));
        }
        let mut names = BTreeSet::new();
        let mut operators = Vec::with_capacity(raw.len());
        for (index, operator) in raw.iter().enumerate() {
            let field = format!("operators[{index}].name");
            let name = self.name(&field, &operator.name)?;
            if !names.insert(name.clone()) {
                return Err(self.error(&field, "is a duplicate"));
            }
            let field = format!("operators[{index}].key");
            let mut key = [0; PUBLIC_KEY_BYTES];
            hex::decode_to_slice(&operator.key, &mut key)
                .map_err(|error| self.error(&field, format!("is not a public key: {error}")))?;
            operators.push(Operator { name, key });
        }
        Ok(operators)
    }

    pub(super) fn limits(&self, raw: &raw::Limits) -> Result<Limits, Error> {
        let path = |name: &str| format!("limits.{name}");
        let size = |name, value, default, range| -> Result<usize, Error> {
            Ok(self.range(&path(name), value, default, range)? as usize)
        };
        Ok(Limits {
            max_body_bytes: size("body_bytes", raw.body_bytes, 4 * MIB, (1, 64 * MIB))?,
            max_header_bytes: size("header_bytes", raw.header_bytes.into(), 16_384, (1024, MIB))?,
            max_queued: size("queue", raw.queue.into(), 1024, (1, 1_000_000))?,
            max_in_flight: size("in_flight", raw.in_flight.into(), 4096, (1, 1_000_000))?,
            default_deadline: self.millis(
                "limits.default_deadline_ms",
                raw.default_deadline_ms,
                30_000,
                (10, 3_600_000),
            )?,
            read_timeout: self.millis(
                "limits.slow_caller_ms",
                raw.slow_caller_ms,
                10_000,
                (100, 600_000),
            )?,
        })
    }

    pub(super) fn timing(&self, raw: &raw::Timing) -> Result<Timing, Error> {
        let heartbeat_interval =
            self.millis("timing.heartbeat_ms", raw.heartbeat_ms, 500, (10, 60_000))?;
        let silence_timeout =
            self.millis("timing.silent_ms", raw.silent_ms, 2_000, (30, 600_000))?;
        if silence_timeout < heartbeat_interval * 2 {
            return Err(self.error("timing.silent_ms", "must be at least twice heartbeat_ms"));
        }
        Ok(Timing {
            heartbeat_interval,
            silence_timeout,
            drain_timeout: self.millis(
                "timing.drain_ms",
                raw.drain_ms,
                60_000,
                (100, 3_600_000),
            )?,
            call_timeout: self.millis("timing.call_ms", raw.call_ms, 2_000, (10, 60_000))?,
        })
    }

    pub(super) fn backend(&self, raw: Option<&raw::Backend>) -> Result<Backend, Error> {
        let Some(raw) = raw else {
            return Err(self.error("backend", "is required"));
        };
        let kind = match raw.kind.as_str() {
            "engine" => Kind::Engine,
            "plain" => Kind::Plain,
            other => {
                let reason = format!("'{other}' is neither 'engine' nor 'plain'");
                return Err(self.error("backend.kind", reason));
            }
        };
        let concurrency = self.range(
            "backend.concurrency",
            raw.concurrency.into(),
            16,
            (1, 65_536),
        )?;
        let cold_concurrency = self.range(
            "backend.cold_concurrency",
            raw.cold_concurrency.into(),
            1,
            (1, concurrency),
        )?;
        Ok(Backend {
            address: self.address("backend.address", &raw.address)?,
            kind,
            service: self.name("backend.service", &raw.service)?,
            checks_fencing: raw.checks_fencing,
            concurrency: concurrency as usize,
            cold_concurrency: cold_concurrency as usize,
            warm_up: self.millis("backend.warm_ms", raw.warm_ms, 10_000, (10, 3_600_000))?,
        })
    }

    pub(super) fn spread(&self, raw: &raw::Spread) -> Result<Spread, Error> {
        let memory_bytes = self.range(
            "spread.memory_bytes",
            raw.memory_bytes,
            256 * MIB,
            (MIB, 1 << 40),
        )?;
        let max_uploads = self.range("spread.uploads", raw.uploads.into(), 16, (1, 1024))?;
        let max_downloads = self.range("spread.downloads", raw.downloads.into(), 32, (1, 1024))?;
        Ok(Spread {
            memory_bytes: memory_bytes as usize,
            max_uploads: max_uploads as usize,
            max_downloads: max_downloads as usize,
            holder_timeout: self.millis(
                "spread.takeover_ms",
                raw.takeover_ms,
                5_000,
                (50, 600_000),
            )?,
        })
    }

    pub(super) fn log_level(&self, value: &str) -> Result<Box<str>, Error> {
        match value {
            "" => Ok("info".into()),
            "error" | "warn" | "info" | "debug" | "trace" => Ok(value.into()),
            other => {
                let reason = format!("'{other}' is not error, warn, info, debug or trace");
                Err(self.error("log_level", reason))
            }
        }
    }
}
