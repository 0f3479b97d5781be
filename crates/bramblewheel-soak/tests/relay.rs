//! Tests that the relay holds traffic back and resets connections.

use bramblewheel_ports::claim_address;
use bramblewheel_soak::relay::{Mode, Relay};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts a relay in front of an echo server; returns it with a client connection.
async fn start_relayed_echo() -> (Relay, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding to a free port succeeds");
    let target = listener
        .local_addr()
        .expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let listen_address = claim_address().expect("an address is free");
    let relay = Relay::start(listen_address, target)
        .await
        .expect("the claimed address can be bound");
    let client = TcpStream::connect(listen_address)
        .await
        .expect("the relay accepts connections");
    (relay, client)
}

#[tokio::test]
async fn held_bytes_are_forwarded_later() {
    for mode in [(true, false), (false, true)] {
        let (relay, mut client) = start_relayed_echo().await;
        client
            .write_all(b"one")
            .await
            .expect("the connection is open");
        let mut word = [0; 3];
        client
            .read_exact(&mut word)
            .await
            .expect("the answer is echoed");
        relay.set(Mode {
            is_silent_inwards: mode.0,
            is_silent_outwards: mode.1,
            ..Mode::default()
        });
        client
            .write_all(b"two")
            .await
            .expect("the connection is open");
        let silence = Duration::from_millis(100);
        let while_silent = tokio::time::timeout(silence, client.read_exact(&mut word)).await;
        assert!(while_silent.is_err(), "{mode:?}");
        relay.set(Mode::default());
        client
            .read_exact(&mut word)
            .await
            .expect("the answer is echoed");
        assert_eq!(&word, b"two");
    }
}

#[tokio::test]
async fn reset_closes_connections_with_an_error() {
    let (relay, mut client) = start_relayed_echo().await;
    let mut word = [0; 3];
    client
        .write_all(b"one")
        .await
        .expect("the connection is open");
    client
        .read_exact(&mut word)
        .await
        .expect("the answer is echoed");
    relay.reset();
    let error = client
        .read_exact(&mut word)
        .await
        .expect_err("the connection is reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_closed_relay_takes_no_connection() {
    let (relay, client) = start_relayed_echo().await;
    let address = client.peer_addr().expect("the connection is open");
    relay.close();
    let refused = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_refused = tokio::time::timeout(Duration::from_secs(2), refused).await;
    assert!(is_refused.is_ok());
}
