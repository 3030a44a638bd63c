//! Distributes the store's state between daemons.
//!
//! Most daemons follow a seed, which reads the store for them or follows the seed that does,
//! so that neither calls nor bytes at the store grow with the fleet. A daemon that cannot read
//! the store and is not initialized yet requests the state of the seeds without following
//! them. On a connection, a request is answered by one or more updates, each message in a
//! length-delimited frame; a request that reports crashes gets no update. While a service is
//! being moved, a follower also sends reports with its counts. What a follower gets of the list
//! of replicas is decided by [`winch_roster`].
//!
//! A seed forwards what it has read from the store; daemons do not run a consensus
//! protocol.

mod follow;
mod message;
mod notice;
mod progress;
mod serve;
mod speeds;

use std::{io, net::SocketAddr, num::NonZeroU32};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use winch_http::client::Connection;
use winch_roster::interest::Interest;
use winch_route::{quarantine::Part, suspect::Fingerprint};

pub use self::{
    follow::{Error, Limits, Subscription, fetch_from_seeds},
    serve::serve,
};
use self::{
    message::{Forwarding, Request},
    notice::{ClearedPart, CompletedRequest, CrashStrike, RetractedCrash},
};
use crate::{
    job::Sends,
    node::Node,
    prelude::*,
    running_time::{Budget, timeout},
    strikes::Strike,
};

/// Timeout for connecting to a peer, and for receiving the request of a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest update that is accepted from a daemon that is followed or asked, in bytes.
const MAX_UPDATE_BYTES: usize = 8 * 1024 * 1024;
/// Time without an update after which a seed is no longer followed. Also the timeout for
/// sending an update to a follower or a report to a seed, and for receiving the state of a seed
/// that is not followed.
pub const SEED_TIMEOUT: Duration = Duration::from_millis(800);

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames of at most `max_bytes` are accepted on the stream, and longer ones may be sent.
fn frame_stream(stream: TcpStream, max_bytes: usize) -> FramedStream {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_framed(stream)
}

async fn send(framed: &mut FramedStream, message: impl Message) -> io::Result<()> {
    framed.send(Bytes::from(message.encode_to_vec())).await
}

async fn receive<M: Message + Default>(
    framed: &mut FramedStream,
    budget: &mut Budget,
) -> io::Result<M> {
    let received = budget.timeout(framed.next()).await?.transpose()?;
    let frame = received.ok_or(io::ErrorKind::UnexpectedEof)?;
    M::decode(frame).map_err(io::Error::other)
}

/// Connects to a daemon and sends `request`.
async fn connect(address: SocketAddr, request: Request) -> io::Result<FramedStream> {
    let connected = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut framed = frame_stream(stream, MAX_UPDATE_BYTES);
        send(&mut framed, request).await?;
        Ok(framed)
    };
    timeout(REQUEST_TIMEOUT, connected).await?
}

/// Opens a connection to a daemon on which a caller's request is sent next.
///
/// # Errors
/// The system's error; nothing of the request was sent.
pub async fn open_forwarding(address: SocketAddr, sends: Sends) -> io::Result<Connection> {
    let Sends { made, max } = sends;
    let forwarding = Some(Forwarding { sends: made, max_sends: max.map_or(0, NonZeroU32::get) });
    let framed = connect(address, Request { forwarding, ..Request::default() }).await?;
    Ok(Connection::new(framed.into_inner()))
}

/// The part of the list that a daemon needs: all of it if it `serves` others.
fn interest<P>(node: &Node<P>, serves: bool) -> Interest {
    let settings = &node.settings;
    if serves {
        Interest::whole(settings.dc.clone())
    } else {
        Interest::subset(&settings.name, settings.dc.clone())
    }
}

/// Reports a strike to all seeds, which forward it to their followers, and to those that read the store
/// in their place.
///
/// The report is not repeated for an unreachable daemon. It is told of the strike when the daemon that has
/// observed it follows it.
pub async fn report_strike<P: Protocol>(node: &Node<P>, strike: &Strike) {
    let strikes = vec![CrashStrike::encode_at(strike, Instant::now())];
    report(node, Request { strikes, ..Request::default() }).await;
}

/// Reports that the strikes for a crash were removed at `at` to all seeds, as [`report_strike`]
/// does.
pub async fn report_retracted<P: Protocol>(node: &Node<P>, strike: &Strike, at: Instant) {
    let now = Instant::now();
    let strikes = vec![CrashStrike::encode_at(strike, now)];
    let retracted = vec![RetractedCrash::encode_at(strike.crash, at, now)];
    report(node, Request { strikes, retracted, ..Request::default() }).await;
}

/// Reports parts of prompts, and when requests with them survived, to all seeds, as [`report_strike`]
/// does.
pub async fn report_cleared<P: Protocol>(node: &Node<P>, parts: Vec<(Part, Instant)>) {
    let now = Instant::now();
    let encode = |(part, at)| ClearedPart::encode_at(part, at, now);
    let cleared = parts.into_iter().map(encode).collect();
    report(node, Request { cleared, ..Request::default() }).await;
}

/// Reports that a request with strikes ran to its end at `at`, as [`report_strike`] does.
pub async fn report_completed<P: Protocol>(node: &Node<P>, request: Fingerprint, at: Instant) {
    let completed = vec![CompletedRequest::encode_at(request, at, Instant::now())];
    report(node, Request { completed, ..Request::default() }).await;
}

/// Tells a daemon that this one is about to follow for which strikes requests are refused, and which it
/// has observed itself: the daemon may have been restarted, or chosen after they were told.
///
/// # Errors
/// The system's error if the daemon is unreachable.
async fn report_known<P: Protocol>(node: &Node<P>, source: SocketAddr) -> io::Result<()> {
    let now = Instant::now();
    let strikes = node.strikes().known(now);
    if strikes.is_empty() {
        return Ok(());
    }
    let strikes = strikes.iter().map(|strike| CrashStrike::encode_at(strike, now)).collect();
    connect(source, Request { strikes, ..Request::default() }).await.map(drop)
}

/// Sends a request to the seeds, and to the daemons that read the store in their place.
async fn report<P: Protocol>(node: &Node<P>, request: Request) {
    let seeds = &node.tuning().seeds;
    let readers = node.fleet().readers().to_vec();
    let others = readers.iter().filter(|reader| !seeds.contains(reader));
    let targets = seeds.iter().chain(others).filter(|target| **target != node.settings.peers);
    let reports = targets.map(|target| connect(*target, request.clone()));
    for reported in futures_util::future::join_all(reports).await {
        if let Err(error) = reported {
            emit!(Event::SeedLost, seed = "while reporting a strike", reason = error);
        }
    }
}
