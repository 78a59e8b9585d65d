//! `jayspread bundle history`: the changes in the log.

use {
    crate::{
        args::BundleHistory,
        cmd::{Run, operator},
        journal::{Journal, Outcome},
        log,
    },
    eyre::Result,
    jayspread_schema::config::{Change, Record, record},
    prost::Message,
    std::time::Duration,
};

impl Run for BundleHistory {
    async fn run(&self) -> Result<()> {
        let settings = operator::settings(&self.platform)?;
        let mut reader = operator::Reader {
            log: log::Http::new(settings.log, settings.timing.call_timeout),
            journal: Journal::new(settings.operators.iter().map(|o| o.key)),
        };
        let json = self.output.json;
        loop {
            let read = reader.page(Duration::ZERO, |entry, outcome, _| {
                show(entry, outcome, json)
            });
            if read.await? == 0 {
                return Ok(());
            }
        }
    }
}

fn show(entry: &log::Entry, outcome: &Outcome, json: bool) {
    let (state, detail) = match outcome {
        Outcome::Accepted(revision, effect) => ("accepted", format!("{revision} {effect}")),
        Outcome::Refused(reason) => ("refused", reason.to_string()),
        Outcome::Unplaced => ("unplaced", "before the first checkpoint kept".to_owned()),
        Outcome::Checkpoint(_) => ("checkpoint", String::new()),
        Outcome::Batch => return,
        Outcome::Nonsense(reason) => ("nonsense", reason.to_string()),
    };
    let operator = signer(entry).unwrap_or_default();
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

fn signer(entry: &log::Entry) -> Option<String> {
    let record = Record::decode(&entry.bytes[..]).ok()?;
    let Some(record::Kind::Signed(signed)) = record.kind else {
        return None;
    };
    Some(Change::decode(&signed.change[..]).ok()?.operator)
}
