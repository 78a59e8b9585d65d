//! Retry budgets of the services.

use {
    crate::{front::state::State, shared::lock},
    jayspread_core::window::Budget,
    jayspread_net::clock,
    std::collections::BTreeMap,
};

impl State {
    /// Adds a caller's request to the retry budget of a service.
    pub fn count_request(&self, service: &str) {
        let now = clock::now();
        let mut budgets = lock(&self.retry_budgets);
        self.retry_budget(&mut budgets, service).record_request(now);
    }

    /// Takes one retry from the budget of a service; false if the budget is exhausted.
    pub fn take_retry(&self, service: &str) -> bool {
        let hosts = self.host_count();
        let now = clock::now();
        let mut budgets = lock(&self.retry_budgets);
        let taken = self
            .retry_budget(&mut budgets, service)
            .try_take(hosts, now);
        if taken {
            self.metrics.retries.inc();
        }
        taken
    }

    /// Whether the retry budget of a service lets a request have a second engine while the first one
    /// may still answer.
    pub fn has_spare_retry(&self, service: &str) -> bool {
        let hosts = self.host_count();
        let now = clock::now();
        let mut budgets = lock(&self.retry_budgets);
        self.retry_budget(&mut budgets, service)
            .has_spare(hosts, now)
    }

    fn retry_budget<'a>(
        &self,
        budgets: &'a mut BTreeMap<Box<str>, Budget>,
        service: &str,
    ) -> &'a mut Budget {
        let bounds = &self.settings.bounds;
        budgets.entry(service.into()).or_insert_with(|| {
            Budget::new(
                bounds.retry_window,
                bounds.retry_ratio,
                bounds.retry_allowance,
            )
        })
    }
}
