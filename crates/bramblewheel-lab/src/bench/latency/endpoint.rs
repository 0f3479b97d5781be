//! Endpoint of the benchmark, which works for a fixed time on each request.

use crate::error::CommandError;
use crate::stdin_commands::exit_with_parent;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::hint;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Number of threads of the endpoint.
const WORKER_THREADS: usize = 2;
/// Answer to every call, as short as that of a fast service.
const ANSWER: &[u8] = b"{\"answer\":\"constant\"}";
/// Path on which the daemon requests the endpoint's load report.
const LOAD_PATH: &str = "/load";
/// Load report of the endpoint, which always has free capacity.
const LOAD: &[u8] = b"{\"slots\":1000,\"busy\":0,\"draining\":false}";

/// Serves until the parent process exits; prints its address as the first line on standard output.
///
/// # Errors
/// [`CommandError`] when the runtime or the listener can't be set up.
pub fn serve(service_time: Duration) -> Result<(), CommandError> {
    exit_with_parent();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        loop {
            let (stream, _) = listener.accept().await?;
            tokio::spawn(serve_connection(stream, service_time));
        }
    })
}

async fn serve_connection(stream: TcpStream, service_time: Duration) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, service_time));
    // A connection error is reported by the client.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    request: Request<Incoming>,
    service_time: Duration,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() == LOAD_PATH {
        return Ok(Response::new(Full::new(Bytes::from_static(LOAD))));
    }
    let _ = request.into_body().collect().await;
    spin(service_time);
    Ok(Response::new(Full::new(Bytes::from_static(ANSWER))))
}

/// Keeps the processor busy, because sleeping is too coarse for such short times.
fn spin(service_time: Duration) {
    let end = Instant::now() + service_time;
    while Instant::now() < end {
        hint::spin_loop();
    }
}
