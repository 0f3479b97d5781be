//! Operators note every acknowledgement, so that a group which takes both orders of a race is found.

use axum::Router;
use bramblewheel_platform_client as wire;
use bramblewheel_soak::check::check;
use bramblewheel_soak::fleet::Addresses;
use bramblewheel_soak::history::History;
use bramblewheel_soak::operator::Operators;
use bramblewheel_soak::plan::Machine;
use std::ops::RangeInclusive;
use tokio::net::TcpListener;

/// Loopback networks that no soak chooses; the first one that nobody listens in is taken, so that
/// several runs of this test can go side by side.
const NETWORKS: RangeInclusive<u8> = 200..=250;
/// Enough changes for several races.
const CHANGES: usize = 20;

/// A listener at the operators' address of the first machine.
async fn listening() -> (Addresses, TcpListener) {
    for network in NETWORKS {
        let addresses = Addresses { network };
        let address = addresses.admin(Machine::Control(0));
        if let Ok(listener) = TcpListener::bind(address).await {
            return (addresses, listener);
        }
    }
    panic!("somebody listens in all networks");
}

#[tokio::test]
async fn a_group_that_takes_both_orders_of_a_race_is_reported() {
    let (addresses, listener) = listening().await;
    let takes_all = Router::new().fallback(async || "taken");
    tokio::spawn(async move { axum::serve(listener, takes_all).await });
    let history = History::default();
    let mut operators = Operators::new(history.clone(), addresses, 1, 7, Vec::new());
    for _ in 0..CHANGES {
        operators.change().await;
    }
    let events = history.events();
    let found = check(&events, &|_| wire::SERVICES[0], &wire::version_of);
    assert!(
        found
            .iter()
            .any(|breach| breach.promise == "one wins a race")
    );
}
