//! The relay does to connections what a plan says.

use bramblewheel_ports::claim_address;
use bramblewheel_soak::relay::{Mode, Relay};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A relay in front of an echo.
async fn echo() -> (Relay, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let known = claim_address().expect("a port is left");
    let relay = Relay::start(known, target).await.expect("the port is free");
    let client = TcpStream::connect(known).await.expect("it listens");
    (relay, client)
}

#[tokio::test]
async fn what_is_held_goes_on_later() {
    for mode in [(true, false), (false, true)] {
        let (relay, mut client) = echo().await;
        client.write_all(b"one").await.expect("open");
        let mut word = [0; 3];
        client.read_exact(&mut word).await.expect("echoed");
        relay.set(Mode {
            is_silent_inwards: mode.0,
            is_silent_outwards: mode.1,
            ..Mode::default()
        });
        client.write_all(b"two").await.expect("open");
        let silence = Duration::from_millis(100);
        let early = tokio::time::timeout(silence, client.read_exact(&mut word)).await;
        assert!(early.is_err(), "{mode:?}");
        relay.set(Mode::default());
        client.read_exact(&mut word).await.expect("echoed");
        assert_eq!(&word, b"two");
    }
}

#[tokio::test]
async fn a_reset_ends_connections_with_an_error() {
    let (relay, mut client) = echo().await;
    let mut word = [0; 3];
    client.write_all(b"one").await.expect("open");
    client.read_exact(&mut word).await.expect("echoed");
    relay.reset();
    let error = client.read_exact(&mut word).await.expect_err("reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
