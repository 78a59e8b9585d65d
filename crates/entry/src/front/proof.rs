//! Carries out the checks that show whether an engine's answer is whole.

use {
    crate::front::{attempt::Line, quarantine, state::State},
    jayspread_core::{
        placement::Reservation,
        proof::{Action, Fault, Inquiry},
        quarantine::Finding,
    },
    jayspread_net::{clock, event},
    std::{pin::Pin, sync::Arc},
    tokio::time,
};

/// Checks in progress of an answer that has ended.
pub type Pending = Pin<Box<dyn Future<Output = Result<(), Fault>> + Send>>;

/// Checks that the answer on `line`, whose body has ended, is whole.
pub fn prove(line: &Line) -> Pending {
    let Some(end) = line.channel.end() else {
        // Nothing has ended, so nothing shows that it is whole.
        return Box::pin(async { Err(Fault::Unproven) });
    };
    inquire(line, Inquiry::new(end, clock::now()))
}

/// Checks what has become of the engine that closed the connection of `line` in order before anything
/// that counts. Never succeeds.
pub fn explain(line: &Line) -> Pending {
    inquire(line, Inquiry::without_content(clock::now()))
}

fn inquire(line: &Line, mut inquiry: Inquiry) -> Pending {
    let state = Arc::clone(line.permit.state());
    let reservation = line.permit.reservation.clone();
    Box::pin(async move {
        loop {
            match inquiry.action() {
                Action::Accept => return Ok(()),
                Action::Reject(fault) => return Err(fault),
                Action::Check(at) => {
                    time::sleep_until(at.into()).await;
                    let finding = check(&state, &reservation).await;
                    inquiry.record(finding, clock::now());
                }
            }
        }
    })
}

/// Checks whether the engine goes on. Its answer has cost a connection, which the one that is opened
/// here replaces.
async fn check(state: &State, reservation: &Reservation) -> Finding {
    let checked_at = clock::now();
    let instance = reservation.instance();
    let finding = quarantine::connect(state, &instance).await;
    let reason = match finding {
        Finding::Alive => "accepted",
        Finding::Ended => "ended",
        Finding::Unknown => "unreachable",
    };
    event!(
        Info,
        "unmarked_end_checked",
        engine = instance.engine,
        result = reason
    );
    state.record_finding(&instance, finding, checked_at);
    finding
}
