//! Questions whether another daemon answers: how many are asked, and what they find.

use bramblewheel_process::clock::Clock;
use bramblewheel_process::logging::silent;
use bramblewheel_proxy::http::body::AnswerBody;
use bramblewheel_proxy::http::pool::{IdlePolicy, Pool, Pools};
use bramblewheel_proxy::http::server::{Handler, KeepAlivePolicy, bind, serve};
use bramblewheel_proxy::outbound::liveness::Liveness;
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

const REQUESTS: usize = 20;
const IDLE: IdlePolicy = IdlePolicy {
    max_idle_time: Duration::from_secs(60),
    max_connections: 64,
};

/// Counts questions, and answers them unless it is silent.
struct Daemon {
    questions: AtomicUsize,
    is_silent: bool,
}

impl Handler for Daemon {
    async fn handle(self: Arc<Self>, _: Request<Incoming>) -> Response<AnswerBody> {
        self.questions.fetch_add(1, Ordering::Relaxed);
        if self.is_silent {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
        Response::new(AnswerBody::whole(Bytes::new()))
    }
}

struct Scene {
    daemon: Arc<Daemon>,
    address: SocketAddr,
    liveness: Arc<Liveness>,
    pool: Arc<Pool>,
    _stop: watch::Sender<bool>,
}

async fn scene(is_silent: bool) -> Scene {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let daemon = Arc::new(Daemon {
        questions: AtomicUsize::new(0),
        is_silent,
    });
    let keep = KeepAlivePolicy {
        idle_timeout: Arc::new(|| Duration::from_secs(3_600)),
        max_idle: usize::MAX,
    };
    let (stop, stopped) = watch::channel(false);
    let serving = serve(listener, Arc::clone(&daemon), keep, stopped, silent());
    tokio::spawn(serving);
    Scene {
        daemon,
        address,
        liveness: Arc::default(),
        pool: Pools::new(IDLE, Clock::start()).get(address),
        _stop: stop,
    }
}

impl Scene {
    /// What requests that come at the same time learn of the daemon.
    async fn ask(&self, is_repeatable: bool) -> Vec<bool> {
        let clock = Clock::start();
        let mut asking = JoinSet::new();
        for _ in 0..REQUESTS {
            let (liveness, pool) = (Arc::clone(&self.liveness), Arc::clone(&self.pool));
            let address = self.address;
            asking.spawn(async move {
                liveness
                    .is_responsive(clock, address, &pool, is_repeatable)
                    .await
            });
        }
        asking.join_all().await
    }

    fn questions(&self) -> usize {
        self.daemon.questions.load(Ordering::Relaxed)
    }
}

#[tokio::test]
async fn one_question_serves_all_requests_for_a_daemon() {
    let scene = scene(false).await;
    assert_eq!(scene.ask(false).await, [true; REQUESTS]);
    assert_eq!(scene.questions(), 1);
}

#[tokio::test]
async fn a_silent_daemon_is_found_out_once_for_all() {
    let scene = scene(true).await;
    assert_eq!(scene.ask(false).await, [false; REQUESTS]);
    assert_eq!(scene.questions(), 1);
}

/// Opening a connection shows already that the machine is there.
#[tokio::test]
async fn a_request_that_can_be_repeated_and_opens_a_connection_asks_nothing() {
    let scene = scene(false).await;
    assert_eq!(scene.ask(true).await, [true; REQUESTS]);
    assert_eq!(scene.questions(), 0);
}
