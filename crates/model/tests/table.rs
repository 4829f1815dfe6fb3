//! Lock order of the shared tables, the worker pool, and rendezvous hashing.

use {
    rstest::rstest,
    std::sync::Arc,
    turmerictack_model::{
        pool::{Pool, PoolError},
        rendezvous::owners,
        table::{LockRank, Table},
    },
};

#[rstest]
fn locks_taken_in_order_are_accepted() {
    let members = Table::new(LockRank::Members, 1);
    let calls = Table::new(LockRank::Calls, 2);
    let first = members.lock();
    let second = calls.lock();
    assert_eq!(*first + *second, 3);
}

#[rstest]
#[should_panic(expected = "lock order")]
fn locks_taken_out_of_order_panic() {
    let members = Table::new(LockRank::Members, 1);
    let calls = Table::new(LockRank::Calls, 2);
    let _second = calls.lock();
    let _first = members.lock();
}

#[rstest]
fn dropping_a_guard_releases_its_lock_rank() {
    let members = Table::new(LockRank::Members, 1);
    let calls = Table::new(LockRank::Calls, 2);
    drop(calls.lock());
    assert_eq!(*members.lock(), 1);
}

#[rstest]
fn dropping_the_pool_runs_all_queued_jobs() {
    let done = Arc::new(Table::new(LockRank::Jobs, 0));
    let pool = Pool::spawn(3, 1000).unwrap();
    for _ in 0..500 {
        let done = Arc::clone(&done);
        pool.submit(move || *done.lock() += 1).unwrap();
    }
    drop(pool);
    assert_eq!(*done.lock(), 500);
}

#[rstest]
fn a_full_queue_rejects_jobs() {
    let (tx, rx) = std::sync::mpsc::channel::<()>();
    let pool = Pool::spawn(1, 1).unwrap();
    let block = move || {
        let _ = rx.recv();
    };
    pool.submit(block).unwrap();
    let rejected = (0..3).filter_map(|_| pool.submit(|| ()).err()).next();
    assert_eq!(rejected, Some(PoolError::Full { limit: 1 }));
    drop(tx);
}

#[rstest]
fn removing_a_candidate_moves_only_its_own_keys() {
    let all = ["n1", "n2", "n3", "n4", "n5"];
    for key in (0..200).map(|n| format!("task-{n}")) {
        let before = owners(&key, all, 1)[0];
        let after = owners(&key, all.into_iter().filter(|n| *n != "n3"), 1)[0];
        assert!(before == after || before == "n3");
    }
}
