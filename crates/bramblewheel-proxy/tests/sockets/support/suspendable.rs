//! A process that can be suspended, as by SIGSTOP: a thread with a runtime of its own. While the thread is blocked, the
//! operating system accepts connections and bytes for it, and its timers are late.

use std::future::Future;
use std::pin::Pin;
use std::thread;
use std::time::Duration;
use tokio::runtime::{Builder, Handle};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A process that can be suspended; ends when dropped.
pub struct SuspendableProcess {
    runtime: Handle,
    /// What the process runs outside of the runtime's tasks, as a program's main function does. The process ends when it
    /// is dropped.
    main: mpsc::UnboundedSender<MainFuture>,
}

type MainFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

impl SuspendableProcess {
    pub fn start() -> Self {
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let handle = runtime.handle().clone();
        let (main, mut started) = mpsc::unbounded_channel::<MainFuture>();
        thread::spawn(move || {
            runtime.block_on(async move {
                if let Some(future) = started.recv().await {
                    future.await;
                }
            });
        });
        Self {
            runtime: handle,
            main,
        }
    }

    /// Runs a future as the main function of the process does: after a suspension it continues before all tasks, and the
    /// process ends with it.
    pub fn run_as_main(&self, future: impl Future<Output = ()> + Send + 'static) {
        let sent = self.main.send(Box::pin(future));
        assert!(sent.is_ok(), "the process runs");
    }

    /// Runs a future in the process.
    pub async fn run<F>(&self, future: F) -> F::Output
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.spawn(future).await.expect("no panic")
    }

    /// Starts a future in the process.
    pub fn spawn<F>(&self, future: F) -> JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.runtime.spawn(future)
    }

    /// Suspends the process from now on, for `time`.
    pub fn suspend(&self, time: Duration) {
        self.runtime.spawn(async move { thread::sleep(time) });
    }
}
