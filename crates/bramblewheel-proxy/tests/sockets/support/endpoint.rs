//! An endpoint with scripted behavior that records the requests it receives.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// Behavior of the endpoint for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Answers with success and proof.
    Answer,
    /// Answers with success and proof after this time.
    AnswerAfter(Duration),
    /// Answers with success and proof, and a body of this many bytes.
    Long(usize),
    /// Refuses with proof that it did not run the request.
    NotRun,
    /// Refuses as [`NotRun`](Self::NotRun), and sends the refusal once more when the next request has come on the
    /// connection.
    NotRunTwice,
    /// Refuses as [`NotRun`](Self::NotRun), but without the id of the request.
    NotRunWithoutId,
    /// Refuses because it is not the expected endpoint.
    OtherEndpoint,
    /// Runs the request and closes the connection without an answer.
    Lose,
    /// Answers with fewer bytes than announced, then closes the connection.
    CutShort,
    /// Answers with the id of another request.
    AnswerAnother,
    /// Answers with success but without proof.
    NoProof,
    /// Answers, and sends a second answer to the same request.
    AnswerTwice,
    /// Sends nothing until the connection is closed.
    Hang,
    /// Answers with an error of its own and proof.
    Fail,
    /// Announces a body of one gibibyte and writes it for as long as it is read.
    Endless,
    /// Answers before the body has arrived, and reads the rest of it afterwards.
    Early,
    /// Writes the beginning of an answer, then closes or resets the connection.
    BreakOff {
        /// The answer; `{fields}` stands for the header lines with id and proof.
        answer: &'static str,
        /// Number of bytes that are written.
        length: usize,
        /// Whether the connection is reset.
        is_reset: bool,
    },
    /// Writes bytes that never become a whole answer, until the connection is closed.
    WithoutEnd(WithoutEnd),
}

/// Bytes without an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithoutEnd {
    /// What is written first; `{fields}` stands for the header lines of an answer with proof, `{refusal}` for those of a
    /// rejection.
    pub begin: String,
    /// What is written again and again.
    pub piece: Vec<u8>,
    /// Time between two pieces; `None` if no piece is written.
    pub pause: Option<Duration>,
}

impl Behavior {
    /// Whether the endpoint runs the request.
    fn runs_request(&self) -> bool {
        !matches!(
            self,
            Self::NotRun | Self::NotRunTwice | Self::NotRunWithoutId | Self::OtherEndpoint
        )
    }
}

/// One received request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body_bytes: usize,
    /// Whether it was answered as soon as its head was read.
    pub is_answered: bool,
    pub received_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Behavior>,
    /// Behaviors for all requests for a target.
    by_target: HashMap<String, Behavior>,
    /// Targets whose [`WithoutEnd`] answers were ended by a closed connection, and when.
    ended: HashMap<String, Instant>,
    arrivals: Vec<Arrival>,
    /// Ids of the requests that it ran.
    runs: Vec<String>,
    cancelled: usize,
    written: usize,
    idle_limit: Option<Duration>,
    /// Header lines added to all answers.
    statement: String,
    /// Target of the requests on which it crashes.
    crash_target: Option<String>,
    serving: Option<AbortHandle>,
    has_crashed: bool,
}

/// An endpoint that follows a script; without a script it answers with success.
#[derive(Clone, Debug)]
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    name: String,
    state: Arc<Mutex<State>>,
}

impl ScriptedEndpoint {
    pub async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = Self {
            address: listener.local_addr().expect("bound"),
            name: name.to_owned(),
            state: Arc::default(),
        };
        let accepting = endpoint.clone();
        let serving = tokio::spawn(async move {
            // All connections are closed when the accepting task ends.
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = accepting.clone();
                connections.spawn(async move { endpoint.serve(stream).await });
                while connections.try_join_next().is_some() {}
            }
        });
        endpoint.lock().serving = Some(serving.abort_handle());
        endpoint
    }

    /// Makes the endpoint crash when it starts a request for this target.
    pub fn crash_on(&self, target: &str) {
        self.lock().crash_target = Some(target.to_owned());
    }

    /// Simulates a crash: the listener and all connections are closed.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.has_crashed = true;
        if let Some(serving) = &state.serving {
            serving.abort();
        }
    }

    pub fn has_crashed(&self) -> bool {
        self.lock().has_crashed
    }

    /// Adds behaviors for the next requests.
    pub fn script(&self, behaviors: &[Behavior]) {
        self.lock().script.extend(behaviors.iter().cloned());
    }

    /// Sets the behavior for all requests for a target.
    pub fn script_target(&self, target: &str, behavior: Behavior) {
        self.lock().by_target.insert(target.to_owned(), behavior);
    }

    /// When the connection of a [`WithoutEnd`] answer was closed.
    pub fn ended_at(&self, target: &str) -> Option<Instant> {
        self.lock().ended.get(target).copied()
    }

    /// Adds header lines to all later answers; each ends with CRLF.
    pub fn state_in_answers(&self, lines: &str) {
        self.lock().statement = lines.to_owned();
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// How often it ran the request `id`.
    pub fn run_count(&self, id: &str) -> usize {
        self.lock().runs.iter().filter(|ran| *ran == id).count()
    }

    /// Number of requests whose connection was closed while they were running.
    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    /// Drops connections that were idle for longer than this: requests on them get a reset.
    pub fn drop_idle_after(&self, idle_limit: Duration) {
        self.lock().idle_limit = Some(idle_limit);
    }

    fn has_dropped(&self, idle_time: Duration) -> bool {
        self.lock()
            .idle_limit
            .is_some_and(|idle_limit| idle_time > idle_limit)
    }

    /// Number of bytes written of endless bodies.
    pub fn written(&self) -> usize {
        self.lock().written
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics under the lock")
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut received = Vec::new();
        let is_early = || {
            let script = &mut self.lock().script;
            let is_next = matches!(script.front(), Some(Behavior::Early));
            is_next.then(|| script.pop_front()).is_some()
        };
        let mut idle_since = Instant::now();
        let mut surplus: Option<Vec<u8>> = None;
        while let Some(arrival) = read_request(&mut stream, &mut received, is_early).await {
            if self.has_dropped(idle_since.elapsed()) {
                let _ = stream.set_zero_linger();
                return;
            }
            let id = arrival.id.clone();
            let is_answered = arrival.is_answered;
            let target = arrival.target.clone();
            let is_fatal = self.lock().crash_target.as_ref() == Some(&arrival.target);
            if is_fatal {
                self.lock().arrivals.push(arrival);
                return self.crash();
            }
            let behavior = {
                let mut state = self.lock();
                state.arrivals.push(arrival);
                match is_answered {
                    true => continue,
                    false => match state.by_target.get(&target) {
                        Some(behavior) => behavior.clone(),
                        None => state.script.pop_front().unwrap_or(Behavior::Answer),
                    },
                }
            };
            if let Some(answer) = surplus.take()
                && stream.write_all(&answer).await.is_err()
            {
                return;
            }
            if behavior == Behavior::NotRunTwice {
                surplus = Some(self.refusal(&id).into_bytes());
            }
            if behavior.runs_request() {
                self.lock().runs.push(id.clone());
            }
            if let Behavior::WithoutEnd(bytes) = &behavior {
                self.write_without_end(bytes, &id, &mut stream).await;
                self.lock().ended.insert(target, Instant::now());
                return;
            }
            if !self.run_behavior(&behavior, &id, &mut stream).await {
                return;
            }
            idle_since = Instant::now();
        }
    }

    fn refusal(&self, id: &str) -> String {
        let statement = self.lock().statement.clone();
        let fields = format!("bw-request-id: {id}\r\nbw-not-run: 1\r\n{statement}");
        format!("HTTP/1.1 503 Service Unavailable\r\n{fields}content-length: 0\r\n\r\n")
    }

    /// Carries out a behavior; returns whether the connection stays open.
    async fn run_behavior(&self, behavior: &Behavior, id: &str, stream: &mut TcpStream) -> bool {
        let name = &self.name;
        if let Behavior::AnswerAfter(time) = behavior {
            tokio::time::sleep(*time).await;
        }
        let statement = self.lock().statement.clone();
        let proof = format!("bw-request-id: {id}\r\nbw-proof: {name}\r\n{statement}");
        let whole = format!("by {name} for {id}");
        let answer = |status: &str, headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
        };
        let (text, stays_open) = match behavior {
            Behavior::Answer | Behavior::AnswerAfter(_) => (answer("200 OK", &proof, &whole), true),
            Behavior::Long(bytes) => (answer("200 OK", &proof, &"x".repeat(*bytes)), true),
            Behavior::NotRun | Behavior::NotRunTwice => (self.refusal(id), true),
            Behavior::NotRunWithoutId => (
                answer("503 Service Unavailable", "bw-not-run: 1\r\n", ""),
                true,
            ),
            Behavior::OtherEndpoint => (answer("421 Misdirected Request", "", ""), true),
            Behavior::Lose => return false,
            Behavior::CutShort => {
                let begin = answer("200 OK", &proof, &whole);
                (begin[..begin.len() - 3].to_owned(), false)
            }
            Behavior::AnswerAnother => {
                let other = "bw-request-id: another\r\nbw-proof: x\r\n";
                (answer("200 OK", other, "of another"), true)
            }
            Behavior::NoProof => (answer("200 OK", "", "from nowhere"), true),
            Behavior::AnswerTwice => (answer("200 OK", &proof, &whole).repeat(2), true),
            Behavior::Hang => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                self.lock().cancelled += 1;
                return false;
            }
            Behavior::Endless => return self.write_endlessly(&proof, stream).await,
            Behavior::BreakOff {
                answer,
                length,
                is_reset,
            } => {
                if *is_reset {
                    let _ = stream.set_zero_linger();
                }
                let text = answer.replace("{fields}", &proof);
                (text[..(*length).min(text.len())].to_owned(), false)
            }
            Behavior::WithoutEnd(_) => unreachable!("written by the caller of this function"),
            Behavior::Early => unreachable!("answered as soon as its head was read"),
            Behavior::Fail => (answer("500 Internal Server Error", &proof, "failed"), true),
        };
        let written = stream.write_all(text.as_bytes()).await;
        if !stays_open {
            // Lets the written bytes arrive before the connection is closed.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        written.is_ok() && stays_open
    }
}

impl ScriptedEndpoint {
    /// Writes until the connection is closed.
    async fn write_without_end(&self, bytes: &WithoutEnd, id: &str, stream: &mut TcpStream) {
        let fields = format!("bw-request-id: {id}\r\nbw-proof: {}\r\n", self.name);
        let refusal = format!("bw-request-id: {id}\r\nbw-not-run: 1\r\n");
        let begin = bytes.begin.replace("{fields}", &fields);
        let begin = begin.replace("{refusal}", &refusal);
        let (mut reader, mut writer) = stream.split();
        let writing = async {
            writer.write_all(begin.as_bytes()).await?;
            let Some(pause) = bytes.pause else {
                return std::future::pending().await;
            };
            loop {
                writer.write_all(&bytes.piece).await?;
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            }
        };
        let mut byte = [0];
        let _: std::io::Result<()> = tokio::select! {
            failed = writing => failed,
            closed = reader.read(&mut byte) => closed.map(|_| ()),
        };
    }

    async fn write_endlessly(&self, proof: &str, stream: &mut TcpStream) -> bool {
        const LENGTH: usize = 1 << 30;
        let head = format!("HTTP/1.1 200 OK\r\n{proof}content-length: {LENGTH}\r\n\r\n");
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        let piece = vec![b'x'; 64 * 1024];
        while self.written() < LENGTH && stream.write_all(&piece).await.is_ok() {
            self.lock().written += piece.len();
        }
        false
    }
}

/// Answers a request before its body is read.
async fn answer_early(stream: &mut TcpStream, id: &str) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\nbw-request-id: {id}\r\nbw-proof: early\r\n");
    let answer = format!("{head}content-length: 5\r\n\r\nearly");
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Reads a request with a content length or a chunked body; only the number of the body's bytes is kept.
async fn read_request(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    is_early: impl Fn() -> bool,
) -> Option<Arrival> {
    let head_end = loop {
        if let Some(at) = find(received, b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, received).await?;
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> = fields
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    received.drain(..head_end);
    let id = headers.get("bw-request-id").cloned().unwrap_or_default();
    let is_answered = is_early();
    if is_answered {
        answer_early(stream, &id).await?;
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse::<usize>().ok());
    let body_bytes = match length {
        Some(length) => {
            while received.len() < length {
                read_more(stream, received).await?;
            }
            received.drain(..length);
            length
        }
        None if headers.contains_key("transfer-encoding") => read_chunks(stream, received).await?,
        None => 0,
    };
    Some(Arrival {
        id,
        target,
        headers,
        body_bytes,
        is_answered,
        received_at: Instant::now(),
    })
}

async fn read_chunks(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<usize> {
    let mut total = 0;
    loop {
        let line_end = loop {
            if let Some(at) = find(received, b"\r\n") {
                break at;
            }
            read_more(stream, received).await?;
        };
        let line = String::from_utf8_lossy(&received[..line_end]).into_owned();
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let end = line_end + 2 + size + 2;
        while received.len() < end {
            read_more(stream, received).await?;
        }
        received.drain(..end);
        if size == 0 {
            return Some(total);
        }
        total += size;
    }
}

async fn read_more(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<()> {
    let mut buffer = vec![0; 16 * 1024];
    let count = stream
        .read(&mut buffer)
        .await
        .ok()
        .filter(|count| *count > 0)?;
    received.extend_from_slice(&buffer[..count]);
    Some(())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
