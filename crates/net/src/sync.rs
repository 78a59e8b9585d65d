//! Locks that remain usable after a panic.

use {
    crate::event,
    prometheus_client::metrics::counter::Counter,
    std::{
        any,
        sync::{
            LazyLock, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
};

static POISONED: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Number of locks of this process that were recovered after a panic.
pub fn poisoned() -> Counter {
    POISONED.clone()
}

/// Locks a mutex. If a panic has poisoned it, this is logged once and the value is used as the panic
/// left it: each table must keep its invariants at every point that can panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    if mutex.is_poisoned() {
        mutex.clear_poison();
        POISONED.inc();
        event!(Error, "lock_poisoned", table = any::type_name::<T>());
    }
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A flag that is set while a piece of work runs; cleared when dropped, also by a panic.
pub struct Running<'a>(&'a AtomicBool);

impl<'a> Running<'a> {
    /// Clears `flag`, which the caller has set, when dropped.
    pub fn new(flag: &'a AtomicBool) -> Self {
        Self(flag)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}
