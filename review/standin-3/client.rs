//! Consumers: one request on a channel, and what became of it.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant, SystemTime},
};

use crate::http::Channel;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id of a consumer attempt.
pub fn attempt_id() -> String {
    let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().subsec_nanos();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", nanos, number as u32)
}

/// What a consumer sends.
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// `Prompt-Prefix` and `Token-Usage`, for a stream.
    pub prompt: Option<(&'a str, &'a str)>,
    pub body: &'a str,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// Zero if no answer came.
    pub status: u16,
    pub is_signed: bool,
    pub is_complete: bool,
    /// Number of events that came.
    pub events: usize,
    pub code: String,
    pub taken: Duration,
}

impl Outcome {
    /// Whether an answer of a replica began.
    pub fn began(&self) -> bool {
        self.status == 200 && self.is_signed && self.events > 0
    }

    pub fn label(&self) -> String {
        format!(
            "{} status {} events {} complete {} after {} ms {}",
            self.id,
            self.status,
            self.events,
            self.is_complete,
            self.taken.as_millis(),
            self.code
        )
    }
}

/// Sends a request on a new channel and reads the answer.
pub fn send(front: SocketAddr, call: &Call<'_>) -> Outcome {
    let (id, started) = (attempt_id(), Instant::now());
    let mut outcome = Outcome {
        id: id.clone(),
        status: 0,
        is_signed: false,
        is_complete: false,
        events: 0,
        code: String::new(),
        taken: Duration::ZERO,
    };
    let _ = exchange(front, call, &id, &mut outcome);
    outcome.taken = started.elapsed();
    outcome
}

fn exchange(
    front: SocketAddr,
    call: &Call<'_>,
    id: &str,
    outcome: &mut Outcome,
) -> std::io::Result<()> {
    let mut channel = Channel::open(front, Duration::from_secs(1))?;
    channel.io.set_read_timeout(Some(Duration::from_millis(call.deadline_ms)))?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nCredential: {}\r\n",
        call.method, call.path, call.host, call.deadline_ms, call.key
    );
    if let Some((prefix, usage)) = call.prompt {
        head.push_str(&format!(
            "Model-Id: m\r\nToken-Usage: {usage}\r\nPrompt-Prefix: {prefix}\r\n"
        ));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{}", call.body.len(), call.body));
    channel.send(head.as_bytes())?;
    let mut reply = channel.head()?;
    outcome.status = reply.status();
    outcome.is_signed = reply.header("replica-signature").is_some();
    if call.prompt.is_some() && reply.header("transfer-encoding").is_some() {
        loop {
            let data = channel.chunk()?;
            if data.is_empty() {
                outcome.is_complete = true;
                return Ok(());
            }
            outcome.events += data.windows(2).filter(|two| *two == b"\n\n").count();
        }
    }
    channel.body(&mut reply)?;
    outcome.is_complete = true;
    outcome.code = String::from_utf8_lossy(&reply.body).chars().take(120).collect();
    Ok(())
}
