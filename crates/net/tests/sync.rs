//! Tests of locks after a panic.

use {
    jayspread_net::{
        panic,
        sync::{Running, lock},
    },
    std::sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

/// Guards against one panic under a lock that makes every later user of the table panic as well.
#[test]
fn lock_is_usable_after_a_panic() {
    let table = Mutex::new(vec![1]);
    let caught = panic::catch(|| {
        let _table = lock(&table);
        panic!("entry that cannot be applied");
    });
    assert!(caught.is_err());
    lock(&table).push(2);
    assert_eq!(*lock(&table), [1, 2]);
    assert!(!table.is_poisoned(), "logged once");
}

/// Guards against a host that never fetches again, because the task that did ended by a panic.
#[test]
fn flag_of_a_running_task_is_cleared_by_a_panic() {
    let flag = AtomicBool::new(true);
    let caught = panic::catch(|| {
        let _running = Running::new(&flag);
        panic!("records that cannot be applied");
    });
    assert!(caught.is_err());
    assert!(!flag.load(Ordering::Acquire));
}
