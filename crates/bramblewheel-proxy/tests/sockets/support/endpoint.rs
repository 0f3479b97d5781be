//! An endpoint that does what a script says, and notes what reaches it.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// What the endpoint does with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with success and proof.
    Answer,
    /// Answers with success and proof after this time.
    AnswerAfter(Duration),
    /// Answers with success and proof, and a body of so many bytes.
    Long(usize),
    /// Refuses with proof that it did not run the request.
    NotRun,
    /// Refuses, since it is another endpoint than the expected one.
    OtherEndpoint,
    /// Runs the request and closes the connection without an answer.
    Lose,
    /// Answers with less than it announced, then closes.
    CutShort,
    /// Answers another request than the one that was sent.
    AnswerAnother,
    /// Answers with success but without proof.
    NoProof,
    /// Answers, and sends a second answer to the same request.
    AnswerTwice,
    /// Says nothing until the connection is closed.
    Hang,
    /// Answers with an error of its own and proof.
    Fail,
    /// Announces a body of a gibibyte and writes for as long as somebody takes it.
    Endless,
    /// Answers before the body has arrived, and takes the rest of it afterwards.
    Early,
}

/// One request as it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body_bytes: usize,
    /// Whether it was answered when its head came.
    pub is_answered: bool,
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Act>,
    arrivals: Vec<Arrival>,
    cancelled: usize,
    written: usize,
    forgets_after: Option<Duration>,
    /// Target of the requests under which it ends.
    fatal: Option<String>,
    serving: Option<AbortHandle>,
    has_ended: bool,
}

/// An endpoint that does what a script says; without one it answers.
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
            // All connections end with the task that accepts them.
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

    /// From now on it ends when it begins a request for this target.
    pub fn ends_at(&self, target: &str) {
        self.lock().fatal = Some(target.to_owned());
    }

    /// Ends as a process does that is killed: it listens no more and all connections break.
    pub fn end(&self) {
        let mut state = self.lock();
        state.has_ended = true;
        if let Some(serving) = &state.serving {
            serving.abort();
        }
    }

    pub fn has_ended(&self) -> bool {
        self.lock().has_ended
    }

    /// What is done with the next requests.
    pub fn script(&self, acts: &[Act]) {
        self.lock().script.extend(acts.iter().cloned());
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Requests whose connection was closed while they ran.
    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    /// Idle connections are forgotten after this time: what comes on them then is reset.
    pub fn forget_idle_after(&self, rest: Duration) {
        self.lock().forgets_after = Some(rest);
    }

    fn has_forgotten(&self, rest: Duration) -> bool {
        self.lock()
            .forgets_after
            .is_some_and(|longest| rest > longest)
    }

    /// Bytes of endless bodies that were taken.
    pub fn written(&self) -> usize {
        self.lock().written
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics under the lock")
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut begun = Vec::new();
        let is_early = || {
            let script = &mut self.lock().script;
            let is_it = matches!(script.front(), Some(Act::Early));
            is_it.then(|| script.pop_front()).is_some()
        };
        let mut rests_since = Instant::now();
        while let Some(arrival) = read_request(&mut stream, &mut begun, is_early).await {
            if self.has_forgotten(rests_since.elapsed()) {
                let _ = stream.set_zero_linger();
                return;
            }
            let id = arrival.id.clone();
            let is_answered = arrival.is_answered;
            let is_fatal = self.lock().fatal.as_ref() == Some(&arrival.target);
            if is_fatal {
                self.lock().arrivals.push(arrival);
                return self.end();
            }
            let act = {
                let mut state = self.lock();
                state.arrivals.push(arrival);
                match is_answered {
                    true => continue,
                    false => state.script.pop_front().unwrap_or(Act::Answer),
                }
            };
            if !self.act(&act, &id, &mut stream).await {
                return;
            }
            rests_since = Instant::now();
        }
    }

    /// Returns whether the connection goes on.
    async fn act(&self, act: &Act, id: &str, stream: &mut TcpStream) -> bool {
        let name = &self.name;
        let proof = format!("bw-request-id: {id}\r\nbw-proof: {name}\r\n");
        let whole = format!("by {name} for {id}");
        let answer = |status: &str, headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
        };
        let (text, goes_on) = match act {
            Act::Answer => (answer("200 OK", &proof, &whole), true),
            Act::AnswerAfter(time) => {
                tokio::time::sleep(*time).await;
                (answer("200 OK", &proof, &whole), true)
            }
            Act::Long(bytes) => (answer("200 OK", &proof, &"x".repeat(*bytes)), true),
            Act::NotRun => {
                let refusal = format!("bw-request-id: {id}\r\nbw-not-run: 1\r\n");
                (answer("503 Service Unavailable", &refusal, ""), true)
            }
            Act::OtherEndpoint => (answer("421 Misdirected Request", "", ""), true),
            Act::Lose => return false,
            Act::CutShort => {
                let begin = answer("200 OK", &proof, &whole);
                (begin[..begin.len() - 3].to_owned(), false)
            }
            Act::AnswerAnother => {
                let other = "bw-request-id: another\r\nbw-proof: x\r\n";
                (answer("200 OK", other, "of another"), true)
            }
            Act::NoProof => (answer("200 OK", "", "from nowhere"), true),
            Act::AnswerTwice => (answer("200 OK", &proof, &whole).repeat(2), true),
            Act::Hang => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                self.lock().cancelled += 1;
                return false;
            }
            Act::Endless => return self.write_endlessly(&proof, stream).await,
            Act::Early => unreachable!("answered when its head came"),
            Act::Fail => (answer("500 Internal Server Error", &proof, "failed"), true),
        };
        let written = stream.write_all(text.as_bytes()).await;
        if !goes_on {
            // So that what was written arrives before the end.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        written.is_ok() && goes_on
    }
}

impl ScriptedEndpoint {
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

/// An answer to the request of a head, given before its body is read.
async fn answer_early(stream: &mut TcpStream, id: &str) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\nbw-request-id: {id}\r\nbw-proof: early\r\n");
    let answer = format!("{head}content-length: 5\r\n\r\nearly");
    stream.write_all(answer.as_bytes()).await.ok()
}

/// Reads a request whose body has a length or comes in chunks; bodies are counted only.
async fn read_request(
    stream: &mut TcpStream,
    begun: &mut Vec<u8>,
    is_early: impl Fn() -> bool,
) -> Option<Arrival> {
    let head_end = loop {
        if let Some(at) = find(begun, b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, begun).await?;
    };
    let head = String::from_utf8_lossy(&begun[..head_end]).into_owned();
    let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> = fields
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    begun.drain(..head_end);
    let id = headers.get("bw-request-id").cloned().unwrap_or_default();
    let is_answered = is_early();
    if is_answered {
        answer_early(stream, &id).await?;
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse::<usize>().ok());
    let body_bytes = match length {
        Some(length) => {
            while begun.len() < length {
                read_more(stream, begun).await?;
            }
            begun.drain(..length);
            length
        }
        None if headers.contains_key("transfer-encoding") => read_chunks(stream, begun).await?,
        None => 0,
    };
    Some(Arrival {
        id,
        target,
        headers,
        body_bytes,
        is_answered,
    })
}

async fn read_chunks(stream: &mut TcpStream, begun: &mut Vec<u8>) -> Option<usize> {
    let mut total = 0;
    loop {
        let line_end = loop {
            if let Some(at) = find(begun, b"\r\n") {
                break at;
            }
            read_more(stream, begun).await?;
        };
        let line = String::from_utf8_lossy(&begun[..line_end]).into_owned();
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let end = line_end + 2 + size + 2;
        while begun.len() < end {
            read_more(stream, begun).await?;
        }
        begun.drain(..end);
        if size == 0 {
            return Some(total);
        }
        total += size;
    }
}

async fn read_more(stream: &mut TcpStream, begun: &mut Vec<u8>) -> Option<()> {
    let mut buffer = vec![0; 16 * 1024];
    let count = stream
        .read(&mut buffer)
        .await
        .ok()
        .filter(|count| *count > 0)?;
    begun.extend_from_slice(&buffer[..count]);
    Some(())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
