//! A client connection: its request sender and the task that drives it.

use bytes::Bytes;
use http_body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::error::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// An open connection. Dropping it closes it, which also cancels a request in progress at the server.
#[derive(Debug)]
pub struct Connection<B> {
    /// Sends requests, one at a time.
    pub sender: SendRequest<B>,
    task: AbortHandle,
}

impl<B> Connection<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Performs the HTTP handshake on a stream, with the library's settings in `builder`.
    ///
    /// # Errors
    /// The library's error; no request was sent.
    pub async fn open(stream: TcpStream, builder: &Builder) -> Result<Self, hyper::Error> {
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            // The task that waits for the answer gets the connection's error.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        Ok(Self { sender, task })
    }
}

impl<B> Drop for Connection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
