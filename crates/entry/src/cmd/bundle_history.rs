//! `jayspread bundle history`: lists the configuration changes in the log.

use {
    crate::{
        args::BundleHistory,
        cmd::{Run, operator},
        log,
        projection::{Outcome, Projection},
    },
    eyre::Result,
    jayspread_schema::config::{Change, Record, record},
    prost::Message,
    std::time::Duration,
};

impl Run for BundleHistory {
    async fn run(&self) -> Result<()> {
        let settings = operator::read_settings(&self.platform)?;
        let mut reader = operator::Reader {
            log: log::Http::new(settings.log, settings.timing.call_timeout),
            projection: Projection::new(settings.operators.iter().map(|o| o.key)),
        };
        let json = self.output.json;
        loop {
            let records = reader.read_page(Duration::ZERO, |entry, outcome, _| {
                print_outcome(entry, outcome, json)
            });
            if records.await? == 0 {
                return Ok(());
            }
        }
    }
}

fn print_outcome(entry: &log::Entry, outcome: &Outcome, json: bool) {
    let (state, detail) = match outcome {
        Outcome::Accepted(revision, effect) => ("accepted", format!("{revision} {effect}")),
        Outcome::Rejected(reason) => ("refused", reason.to_string()),
        Outcome::Deferred => ("unplaced", "before the first checkpoint kept".to_owned()),
        Outcome::Checkpoint(_) => ("checkpoint", String::new()),
        Outcome::Batch => return,
        Outcome::Malformed(reason) => ("nonsense", reason.to_string()),
    };
    let operator = operator_of(entry).unwrap_or_default();
    let offset = entry.offset;
    if json {
        let line = serde_json::json!({
            "offset": offset, "state": state, "operator": operator, "detail": detail,
        });
        println!("{line}");
        return;
    }
    println!("offset={offset} {state} operator={operator} {detail}");
}

/// Returns the operator named in a change, whether or not its signature is valid.
fn operator_of(entry: &log::Entry) -> Option<String> {
    let record = Record::decode(&entry.bytes[..]).ok()?;
    let Some(record::Kind::Signed(signed)) = record.kind else {
        return None;
    };
    Some(Change::decode(&signed.change[..]).ok()?.operator)
}
