//! Addresses for servers stay free until the server binds them.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use umberloom_protocol_fakes::loopback::{free_address, unique_host};

/// Threads that start short child processes, each one at a time.
const SPAWNER_COUNT: usize = 8;
/// Threads that take and bind addresses.
const BINDER_COUNT: usize = 4;
/// Addresses that each of these threads takes.
const ROUND_COUNT: usize = 5_000;

/// A started process holds copies of all sockets of this process until its `exec`. If a socket was bound to
/// find a free address, the address can therefore still be in use after that socket is closed.
#[test]
fn addresses_can_be_bound_while_other_threads_start_processes() {
    let done = AtomicBool::new(false);
    let start_processes = || {
        let mut count = 0;
        while !done.load(Ordering::Relaxed) {
            let status = Command::new("true").status().expect("a child process");
            assert!(status.success(), "{status}");
            count += 1;
        }
        count
    };
    let bind_addresses = || {
        let mut errors = Vec::new();
        for _ in 0..ROUND_COUNT {
            let address = free_address(unique_host()).expect("a free address");
            if let Err(e) = TcpListener::bind(address) {
                errors.push(format!("{address}: {e}"));
            }
        }
        errors
    };
    thread::scope(|scope| {
        let spawners: Vec<_> = (0..SPAWNER_COUNT).map(|_| scope.spawn(start_processes)).collect();
        let binders: Vec<_> = (0..BINDER_COUNT).map(|_| scope.spawn(bind_addresses)).collect();
        let results: Vec<_> = binders.into_iter().map(thread::ScopedJoinHandle::join).collect();
        // Set also if a thread panicked: the scope waits for all threads.
        done.store(true, Ordering::Relaxed);
        let started: Vec<usize> = spawners.into_iter().map(|s| s.join().expect("no panic")).collect();
        let errors: Vec<String> = results.into_iter().flat_map(|r| r.expect("no panic")).collect();
        assert!(started.iter().all(|count| *count > 0), "processes by thread: {started:?}");
        assert!(
            errors.is_empty(),
            "{} of {} addresses could not be bound while {} processes started, the first: {}",
            errors.len(),
            BINDER_COUNT * ROUND_COUNT,
            started.iter().sum::<usize>(),
            errors[0]
        );
    });
}

#[test]
fn hosts_differ_and_ports_are_below_the_ephemeral_range() {
    const THREAD_COUNT: usize = 4;
    const ADDRESSES_PER_THREAD: usize = 500;
    let take_addresses = || {
        let take = |_| free_address(unique_host()).expect("a free address");
        (0..ADDRESSES_PER_THREAD).map(take).collect::<Vec<_>>()
    };
    let addresses: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREAD_COUNT).map(|_| scope.spawn(take_addresses)).collect();
        threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect()
    });
    let hosts: HashSet<_> = addresses.iter().map(SocketAddr::ip).collect();
    assert_eq!(hosts.len(), THREAD_COUNT * ADDRESSES_PER_THREAD);
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
    assert!(addresses.iter().all(|address| address.port() < 32_768), "{addresses:?}");
}
