//! Carries out the checks that show whether an engine's answer is whole.

use {
    crate::{
        front::{attempt::Line, state::State, upstream::CONNECT_TIMEOUT},
        shared::lock,
    },
    jayspread_core::{
        placement::Reservation,
        proof::{Action, Fault, Inquiry},
        quarantine::Finding,
    },
    jayspread_net::{channel::Channel, clock, event},
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
    let engine = &reservation.id;
    let (finding, reason) = match Channel::open(reservation.address, CONNECT_TIMEOUT).await {
        Ok(channel) => {
            lock(&state.pool).put(engine, channel);
            (Finding::Alive, "accepted")
        }
        Err(cause) if cause.is_refused() => (Finding::Ended, "refused"),
        Err(_) => (Finding::Unknown, "unreachable"),
    };
    event!(
        Info,
        "unmarked_end_checked",
        engine = engine,
        result = reason
    );
    state.record_finding(engine, finding, checked_at);
    finding
}
