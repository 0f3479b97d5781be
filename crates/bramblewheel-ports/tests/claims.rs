//! Claimed addresses are unique, free for a listener, and never assigned by the system.

use bramblewheel_ports::{PORTS, claim_address};
use std::collections::BTreeSet;
use std::net::{TcpListener, UdpSocket};

/// Threads that claim at the same time.
const THREADS: usize = 8;
/// Addresses that each of them claims.
const CLAIMS_PER_THREAD: usize = 20;

#[test]
fn concurrent_threads_claim_distinct_addresses() {
    let claim = || {
        let claims = (0..CLAIMS_PER_THREAD).map(|_| claim_address().expect("no free port"));
        claims.collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..THREADS).map(|_| std::thread::spawn(claim)).collect();
    let claimed: Vec<_> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("claiming thread panicked"))
        .collect();
    let distinct: BTreeSet<_> = claimed.iter().collect();
    assert_eq!(distinct.len(), THREADS * CLAIMS_PER_THREAD);
}

#[test]
fn a_claimed_address_can_be_listened_on_but_not_claimed_again() {
    let address = claim_address().expect("no free port");
    assert!(PORTS.contains(&address.port()));
    assert!(
        UdpSocket::bind(address).is_err(),
        "another process could claim it"
    );
    for _ in 0..2 {
        TcpListener::bind(address).expect("bind a listener, also after another one has closed");
    }
}

#[test]
fn the_system_does_not_assign_claimable_ports() {
    for _ in 0..100 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let port = listener.local_addr().expect("socket is bound").port();
        assert!(!PORTS.contains(&port), "{port}");
    }
}
