//! Connections that callers open while a listener closes.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{self, SocketAddr},
    ops::AddAssign,
    thread,
    time::Duration,
};

use assert_matches::assert_matches;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use winch_relay::listen::{self, Closed};

/// Listeners that are closed at the same time.
const LISTENERS: usize = 8;
/// How often that many are closed.
const ROUNDS: usize = 40;
/// Callers of each listener.
const CALLERS: usize = 3;
/// Time for which a listener is used before it is closed.
const OPEN_TIME: Duration = Duration::from_millis(10);
/// Time after which the system repeats the opening packet of a connection.
const PACKET_REPEAT_TIME: Duration = Duration::from_secs(1);
/// Longest wait of a caller; only a fault reaches it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What callers got on their connections.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    answered: usize,
    /// Opened, and closed without an answer.
    cut: usize,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.answered += other.answered;
        self.cut += other.cut;
    }
}

/// Opens one connection after the other, with a request each, until one is refused.
fn call_until_refused(address: SocketAddr) -> Tally {
    let mut tally = Tally::default();
    loop {
        let answer = net::TcpStream::connect_timeout(&address, TIMEOUT).and_then(ask);
        match answer {
            Ok(()) => tally.answered += 1,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return tally,
            Err(_) => tally.cut += 1,
        }
    }
}

/// Sends a request and waits for its answer.
fn ask(mut stream: net::TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"?")?;
    stream.read_exact(&mut [0])
}

/// Reads the request of a connection and answers it.
async fn answer(mut stream: TcpStream) {
    if stream.read_exact(&mut [0]).await.is_ok() {
        let _ = stream.write_all(b"!").await;
    }
}

/// Opens a listener, closes it while callers use it, and returns what they got.
async fn close_in_use() -> Tally {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let callers = [(); CALLERS].map(|()| thread::spawn(move || call_until_refused(address)));
    let mut answers = JoinSet::new();
    let _ = timeout(OPEN_TIME, async {
        loop {
            answers.spawn(answer(listen::accept(&listener).await));
        }
    })
    .await;
    let serve = |stream| {
        answers.spawn(answer(stream));
    };
    listen::close(listener, serve).await;
    answers.join_all().await;
    let mut sum = Tally::default();
    for caller in callers {
        while !caller.is_finished() {
            sleep(Duration::from_millis(1)).await;
        }
        sum += caller.join().expect("no panic");
    }
    sum
}

// Guards against a connection that is established after the last look at the queue of a listener and
// before its close, which resets it with its request.
#[tokio::test(flavor = "multi_thread")]
async fn racing_caller_answered() {
    let mut sum = Tally::default();
    for _ in 0..ROUNDS {
        let closes: JoinSet<Tally> = (0..LISTENERS).map(|_| close_in_use()).collect();
        for tally in closes.join_all().await {
            sum += tally;
        }
    }
    eprintln!("{sum:?} in {} closes", ROUNDS * LISTENERS);
    assert_eq!(sum.cut, 0, "cut connections, of {} that were answered", sum.answered);
}

// Guards against a caller whose opening packet is dropped by a closing listener: it would repeat it
// after a second only.
#[tokio::test(flavor = "multi_thread")]
async fn new_caller_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut early = TcpStream::connect(address).await.expect("it listens");
    let mut answers = JoinSet::new();
    let serve = |stream| {
        answers.spawn(answer(stream));
    };
    let late = async {
        let asked_at = Instant::now();
        (TcpStream::connect(address).await.map_err(|error| error.kind()), asked_at.elapsed())
    };
    // The close is begun before the late caller connects.
    let (closed, (late, refused_after)) = tokio::join!(listen::close(listener, serve), late);
    assert_eq!(closed, Closed { queued: 1, refused_first: true });
    assert_matches!(late, Err(ErrorKind::ConnectionRefused));
    assert!(refused_after < PACKET_REPEAT_TIME, "refused after {refused_after:?}");
    early.write_all(b"?").await.expect("it is served");
    early.read_exact(&mut [0]).await.expect("an answer");
    answers.join_all().await;
}
