//! Claimed addresses: each given once, free for a listener, and outside the system's own choice.

use bramblewheel_ports::{PORTS, claim_address};
use std::collections::BTreeSet;
use std::net::{TcpListener, UdpSocket};

/// Threads that claim at the same time.
const THREADS: usize = 8;
/// Addresses that each of them claims.
const CLAIMS_PER_THREAD: usize = 20;

#[test]
fn no_address_is_given_twice() {
    let claim = || {
        let claims = (0..CLAIMS_PER_THREAD).map(|_| claim_address().expect("a port is left"));
        claims.collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..THREADS).map(|_| std::thread::spawn(claim)).collect();
    let claimed: Vec<_> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("it claims"))
        .collect();
    let distinct: BTreeSet<_> = claimed.iter().collect();
    assert_eq!(distinct.len(), THREADS * CLAIMS_PER_THREAD);
}

#[test]
fn a_claimed_address_is_open_to_a_listener_and_to_no_other_claim() {
    let address = claim_address().expect("a port is left");
    assert!(PORTS.contains(&address.port()));
    assert!(
        UdpSocket::bind(address).is_err(),
        "another process could claim it"
    );
    for _ in 0..2 {
        TcpListener::bind(address).expect("free for a listener, also after another one has closed");
    }
}

#[test]
fn the_system_gives_no_claimable_port_by_itself() {
    for _ in 0..100 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        assert!(!PORTS.contains(&port), "{port}");
    }
}
