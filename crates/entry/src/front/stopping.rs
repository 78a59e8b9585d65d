//! What this host, if it is stopping, may still do for a request.

use {
    crate::front::{exchange::Exchange, problem::Problem},
    jayspread_core::shutdown::Step,
};

impl Exchange {
    /// Step that sending the request to an engine would be.
    pub fn next_step(&self) -> Step {
        if self.call.sends() == 0 {
            return Step::Begin;
        }
        Step::Repeat
    }

    /// Whether this host, if it is stopping, may still take a step of the request.
    pub fn is_allowed(&self, step: Step) -> bool {
        let need = self.route.latency_target.min(self.remaining());
        self.state.allows(step, need)
    }

    /// Problem of a request that this stopping host does not answer any more.
    pub fn stopping_problem(&self) -> Problem {
        if self.call.not_run() {
            return Problem::stopping();
        }
        Problem::bad_gateway("stopping")
    }
}
