//! One child process: its start, log, commands, signals and exit.

use super::log_lines::{self, LogEvent};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{ChildStderr, ChildStdin, Command};
use tokio::sync::{Mutex, mpsc, watch};

/// A child process can't be started, or can't be sent a command or a signal.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The process can't be started.
    #[error("{name}: can't start: {error}")]
    Start {
        /// Name of the process.
        name: String,
        /// The operating system's error.
        error: io::Error,
    },
    /// The process has exited.
    #[error("{name}: not running")]
    NotRunning {
        /// Name of the process.
        name: String,
    },
    /// A signal can't be sent to the process.
    #[error("{name}: can't send a signal: {error}")]
    Signal {
        /// Name of the process.
        name: String,
        /// The operating system's error.
        error: io::Error,
    },
}

/// A process to start.
#[derive(Clone, Debug)]
pub struct Spawn {
    /// Name of the process.
    pub name: String,
    /// Arguments for the lab's own executable.
    pub arguments: Vec<String>,
    /// File that its standard error is appended to.
    pub log: PathBuf,
}

/// Event of a child process.
#[derive(Clone, Debug)]
pub enum ChildEvent {
    /// It logged a line that the fleet runner evaluates.
    Log(LogEvent),
    /// It exited; the status is none when a signal terminated it.
    Exited(Option<i32>),
}

/// A running child. Dropping it kills the process.
#[derive(Debug)]
pub struct Child {
    name: String,
    pid: Pid,
    input: Mutex<Option<ChildStdin>>,
    ended: watch::Receiver<Option<ExitStatus>>,
    kill: mpsc::UnboundedSender<()>,
}

impl Child {
    /// Starts a process; its events are sent to `events` with its name.
    ///
    /// # Errors
    /// [`ProcessError::Start`].
    pub fn start(
        spawn: Spawn,
        events: mpsc::UnboundedSender<(String, ChildEvent)>,
    ) -> Result<Self, ProcessError> {
        let name = spawn.name.clone();
        let start_error = |error| ProcessError::Start {
            name: spawn.name.clone(),
            error,
        };
        let log = open_log(&spawn.log).map_err(start_error)?;
        let mut process = spawn_process(&spawn.arguments).map_err(start_error)?;
        let pid = process
            .id()
            .and_then(|pid| Pid::from_raw(pid.cast_signed()));
        let pid = pid.ok_or_else(|| start_error(io::ErrorKind::NotFound.into()))?;
        let input = Mutex::new(process.stdin.take());
        let error_output = process.stderr.take();
        let (ended_sender, ended) = watch::channel(None);
        let (kill, kill_requests) = mpsc::unbounded_channel();
        let event_name = name.clone();
        tokio::spawn(async move {
            let reading = async {
                if let Some(output) = error_output {
                    read_log(output, log, &event_name, &events).await;
                }
            };
            let waiting = wait_for_end(process, kill_requests, ended_sender);
            // The exit event is sent after the events of all logged lines.
            let ((), status) = tokio::join!(reading, waiting);
            let _ = events.send((event_name, ChildEvent::Exited(status.code())));
        });
        Ok(Self {
            name,
            pid,
            input,
            ended,
            kill,
        })
    }

    /// Sends a command to the process on its standard input.
    ///
    /// # Errors
    /// [`ProcessError::NotRunning`].
    pub async fn send_command(&self, command: &impl ToString) -> Result<(), ProcessError> {
        let not_running = || ProcessError::NotRunning {
            name: self.name.clone(),
        };
        let mut input = self.input.lock().await;
        let input = input.as_mut().ok_or_else(not_running)?;
        let line = format!("{}\n", command.to_string());
        let written = input.write_all(line.as_bytes()).await;
        written.map_err(|_| not_running())
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// [`ProcessError::NotRunning`] or [`ProcessError::Signal`].
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let name = self.name.clone();
        if self.has_ended() {
            return Err(ProcessError::NotRunning { name });
        }
        kill_process(self.pid, signal).map_err(|error| ProcessError::Signal {
            name,
            error: error.into(),
        })
    }

    /// Whether the process has been reaped. Until then its process id can't be reused.
    pub fn has_ended(&self) -> bool {
        self.ended.borrow().is_some()
    }

    /// Waits until the process has exited.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        // The sender is dropped only after the exit, or when the runtime shuts down.
        let _ = ended.wait_for(Option::is_some).await;
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&self) {
        // If the receiver is closed, the process has already exited.
        let _ = self.kill.send(());
        self.ended().await;
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.kill.send(());
    }
}

/// Opens the log file of a child for appending.
fn open_log(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

/// Starts the lab's own executable with the given arguments.
fn spawn_process(arguments: &[String]) -> io::Result<tokio::process::Child> {
    Command::new(std::env::current_exe()?)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
}

/// Waits until a process has exited, kills it on request, and publishes its status.
async fn wait_for_end(
    mut process: tokio::process::Child,
    mut kill_requests: mpsc::UnboundedReceiver<()>,
    ended: watch::Sender<Option<ExitStatus>>,
) -> ExitStatus {
    let status = tokio::select! {
        status = process.wait() => status,
        _ = kill_requests.recv() => {
            // Fails if the process has just exited by itself.
            let _ = process.start_kill();
            process.wait().await
        }
    };
    // From here on the process id may be reused by another process.
    let status = status.unwrap_or_default();
    ended.send_replace(Some(status));
    status
}

async fn read_log(
    output: ChildStderr,
    mut log: File,
    name: &str,
    events: &mpsc::UnboundedSender<(String, ChildEvent)>,
) {
    let mut lines = BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(event) = log_lines::parse(&line) {
            let _ = events.send((name.to_owned(), ChildEvent::Log(event)));
        }
        // A log file that can't be written does not end the run.
        let _ = writeln!(log, "{line}");
    }
}
