//! Serves the state of this daemon to its followers.

use std::{io, net::SocketAddr};

use futures_util::StreamExt;
use prost::Message;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, sleep_until, timeout},
};
use tokio_util::codec::FramedParts;
use winch_http::server::Reader;
use winch_roster::{cursor::Cursor, frame, interest::Interest, pace::Pace};

use super::{
    FramedStream, REQUEST_TIMEOUT, SEED_TIMEOUT, frame_stream,
    message::{Relays, Report, Request, ServiceSize, Update},
    notice::{ClearedPart, CompletedRequest, CrashStrike, RetractedCrash},
    progress::MoveProgress,
    send,
    speeds::decode_samples,
};
use crate::{
    counter, edge, edition::Edition, fleet::FollowerKey, listen, node::Node, prelude::*,
    respond::Responder, speed, strikes::Notice,
};

/// Largest number of connections that are served at once. On further ones requests are refused, and
/// nobody gets updates.
const MAX_CONNECTIONS: usize = 512;
/// Largest number of such further connections; more are closed.
const MAX_UNSERVED_CONNECTIONS: usize = 256;
/// How long the input of a refused request is read.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest first frame of a connection, in bytes: a request, or strikes and cleared parts.
const MAX_REQUEST_BYTES: usize = 128 * 1024;
/// Largest report of a follower, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;
/// Delay of an update after a change, so that it also carries the changes that follow.
const COALESCE_DELAY: Duration = Duration::from_millis(150);
/// Largest configuration in an update to followers, in bytes. They read a larger one from
/// the store, which has more bandwidth.
const MAX_PUSHED_CONFIG_BYTES: usize = 16 * 1024;
/// Longest time for which a follower waits for its first update while this daemon makes its
/// first read. Shorter than the time after which the follower gives up.
const FIRST_READ_WAIT: Duration = Duration::from_millis(500);

/// What was already sent on a connection.
#[derive(Debug)]
struct Sent {
    /// Edition of the configuration in force at the last update.
    edition: Edition,
    cursor: Cursor,
    /// Whether the peer understands the compact list.
    is_compact: bool,
    /// Number of notices of strikes that were sent or skipped.
    notices: usize,
    services: Vec<ServiceSize>,
    /// Address of the peer for other daemons, if it states one.
    address: Option<SocketAddr>,
    relays: Vec<SocketAddr>,
    /// Revision of the fleet for which the relays were chosen.
    fleet_revision: u64,
    speeds: speed::Cursor,
}

impl Sent {
    fn new<P>(node: &Node<P>, request: &Request) -> Self {
        let interest = request.interest.clone().map(Interest::from);
        let is_compact = interest.is_some();
        let interest = interest.unwrap_or_else(|| Interest::whole(node.settings.dc.clone()));
        Self {
            edition: Edition::default(),
            cursor: Cursor::new(interest),
            is_compact,
            notices: 0,
            services: Vec::new(),
            address: request.address.parse().ok(),
            relays: Vec::new(),
            fleet_revision: 0,
            speeds: speed::Cursor::default(),
        }
    }

    /// Builds the next update: the changes since the last one, with a configuration of at
    /// most `max_config_bytes`.
    fn next_update<P: Protocol>(&mut self, node: &Node<P>, max_config_bytes: usize) -> Update {
        let mut update = Update {
            age_ms: node.state_age_ms(),
            reads_store: node.reads_store(),
            daemons: node.daemons(),
            strikes_synced: Some(node.strikes().is_synced()),
            steady_ms: node.steady_ms(),
            readers: node.fleet().readers().iter().map(ToString::to_string).collect(),
            ..Update::default()
        };
        if let Some(published) = node.published() {
            let edition = published.edition;
            update.config_version = edition.version;
            update.config_era = edition.era;
            update.config_digest = edition.digest;
            if self.edition.is_replaced_by(&edition) && published.document.len() <= max_config_bytes
            {
                update.config = published.document;
            }
            self.edition = edition;
        }
        self.add_moves(node, &mut update);
        self.add_notices(node, &mut update);
        self.add_listing(node, &mut update);
        self.add_relays(node, &mut update);
        update
    }

    fn add_relays<P: Protocol>(&mut self, node: &Node<P>, update: &mut Update) {
        let Some(address) = self.address else { return };
        let fleet = node.fleet();
        if self.fleet_revision == fleet.revision() {
            return;
        }
        self.fleet_revision = fleet.revision();
        let relays = fleet.choose_relays(address);
        if relays != self.relays {
            update.relays = Some(Relays::from(&relays[..]));
            self.relays = relays;
        }
    }

    fn add_moves<P: Protocol>(&self, node: &Node<P>, update: &mut Update) {
        let now = Instant::now();
        let rollouts = node.rollouts();
        update.moving = rollouts.iter().map(|r| MoveProgress::encode_at(r, now)).collect();
    }

    fn add_notices<P: Protocol>(&mut self, node: &Node<P>, update: &mut Update) {
        let now = Instant::now();
        let strikes = node.strikes();
        let mut struck = Vec::new();
        let (notices, count) = strikes.after(self.notices);
        for notice in notices {
            match notice {
                Notice::Struck(strike) => struck.push(strike),
                Notice::Cleared(part, at) => {
                    update.cleared.push(ClearedPart::encode_at(part, at, now));
                }
                Notice::Retracted(crash, at) => {
                    update.retracted.push(RetractedCrash::encode_at(crash, at, now));
                }
                Notice::Completed(request, at) => {
                    update.completed.push(CompletedRequest::encode_at(request, at, now));
                }
            }
        }
        if self.notices == 0 {
            // Older notices are not kept. First those with all their parts: earlier releases skip a
            // strike that they have.
            struck.extend(strikes.decisive(now));
        }
        update.strikes = struck.iter().map(|strike| CrashStrike::encode_at(strike, now)).collect();
        self.notices = count;
    }

    fn add_listing<P: Protocol>(&mut self, node: &Node<P>, update: &mut Update) {
        let moving = node.rollouts().moving_services();
        let roster = node.roster();
        let services: Vec<ServiceSize> = roster.services().map(ServiceSize::from).collect();
        let changed = services.iter().filter(|size| !self.services.contains(size));
        update.services = changed.cloned().collect();
        self.services = services;
        update.list_version = roster.position().version;
        update.list_era = Some(roster.position().era);
        let delta = self.cursor.advance(&roster, &moving);
        if self.is_compact {
            let added: Vec<_> = delta.put.iter().map(|listed| listed.replica.address).collect();
            let is_known = |address| roster.id_at(address).is_some_and(|id| self.cursor.has(id));
            let told = node.speeds().next_told(&mut self.speeds, &added, is_known);
            update.speeds = told.map(Into::into);
        }
        if self.is_compact {
            update.list = Some(frame::Delta::from(&delta));
        } else {
            update.put_uncompacted(&delta);
        }
    }
}

/// Accepts connections of other daemons and serves them, for as long as the daemon runs.
pub async fn serve<P: Protocol>(node: Arc<Node<P>>, listener: TcpListener) {
    let (mut served, mut unserved) = (JoinSet::new(), JoinSet::new());
    loop {
        let stream = listen::accept(&listener).await;
        for connections in [&mut served, &mut unserved] {
            while connections.try_join_next().is_some() {}
        }
        let has_room = served.len() < MAX_CONNECTIONS;
        let connections = if has_room { &mut served } else { &mut unserved };
        if !has_room && connections.len() >= MAX_UNSERVED_CONNECTIONS {
            continue;
        }
        let node = node.clone();
        connections.spawn(async move {
            // An error only means that the peer has disconnected or sent an invalid frame.
            let _ = serve_connection(&node, stream, has_room).await;
        });
    }
}

/// Serves one connection. Without room for it, notices are taken all the same, and a caller's
/// request is refused.
async fn serve_connection<P: Protocol>(
    node: &Arc<Node<P>>,
    stream: TcpStream,
    has_room: bool,
) -> io::Result<()> {
    let mut framed = frame_stream(stream, MAX_REQUEST_BYTES);
    let received = timeout(REQUEST_TIMEOUT, framed.next()).await?.transpose()?;
    let Some(request) = received else { return Ok(()) };
    let mut request = Request::decode(request).map_err(io::Error::other)?;
    let notices = request.take_notices();
    if !notices.is_empty() {
        notices.apply(node);
        return Ok(());
    }
    if let Some(forwarding) = request.forwarding {
        let FramedParts { io, read_buf, .. } = framed.into_parts();
        let (read, write) = io.into_split();
        let read = io::Cursor::new(read_buf).chain(read);
        if has_room {
            edge::serve_forwarded(node, read, write, forwarding.decode()).await;
        } else {
            refuse_forwarded(read, write).await;
        }
        return Ok(());
    }
    if !has_room {
        return Ok(());
    }
    let mut sent = Sent::new(node, &request);
    if !request.follow {
        return send(&mut framed, sent.next_update(node, usize::MAX)).await;
    }
    // A timeout is not an error: the follower then tries another daemon.
    let _ = timeout(FIRST_READ_WAIT, node.wait_confirmed()).await;
    serve_follower(node, &mut framed, sent).await
}

/// Refuses the request that another daemon passes on. A close in place of the refusal would leave
/// that daemon in doubt whether the request has run.
async fn refuse_forwarded<R, W>(read: R, write: W)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    counter::taken("busy");
    let mut out = Responder::for_daemon(write);
    out.close_after();
    if out.send_error(Code::Busy, None).await.is_ok() {
        out.shutdown().await;
        // Closing a socket with unread input resets the connection, and the refusal could be lost.
        let _ = timeout(LINGER_TIMEOUT, Reader::new(read).drain()).await;
    }
}

async fn serve_follower<P: Protocol>(
    node: &Node<P>,
    framed: &mut FramedStream,
    mut sent: Sent,
) -> io::Result<()> {
    framed.codec_mut().set_max_frame_length(MAX_REPORT_BYTES);
    let follower = Follower::new(node, sent.address);
    let mut changes = node.subscribe();
    while node.serves() {
        let update = sent.next_update(node, MAX_PUSHED_CONFIG_BYTES);
        timeout(SEED_TIMEOUT, send(framed, update)).await??;
        let heartbeat = Instant::now() + Pace::new(node.tuning().max_age).heartbeat;
        loop {
            tokio::select! {
                // Cannot fail: the node owns the sender.
                _ = changes.changed() => {
                    sleep(COALESCE_DELAY).await;
                    break;
                }
                () = sleep_until(heartbeat) => break,
                frame = framed.next() => {
                    let Some(frame) = frame.transpose()? else { return Ok(()) };
                    let report = Report::decode(frame).map_err(io::Error::other)?;
                    node.fleet().report(follower.key, report.followers);
                    apply_report(node, report);
                }
            }
        }
    }
    Ok(())
}

/// Guard that counts a follower while it is connected.
struct Follower<'a, P: Protocol> {
    node: &'a Node<P>,
    key: FollowerKey,
}

impl<'a, P: Protocol> Follower<'a, P> {
    fn new(node: &'a Node<P>, address: Option<SocketAddr>) -> Self {
        Self { node, key: node.fleet().add_follower(address) }
    }
}

impl<P: Protocol> Drop for Follower<'_, P> {
    fn drop(&mut self) {
        self.node.fleet().remove_follower(self.key);
    }
}

fn apply_report<P: Protocol>(node: &Node<P>, report: Report) {
    let (name, now) = (Name::from(report.daemon), Instant::now());
    let mut rollouts = node.rollouts();
    for counted in report.counted {
        rollouts.apply_report(&name, counted.into(), now);
    }
    drop(rollouts);
    for drain in report.drains {
        node.apply_drain(&drain.into());
    }
    let mut speeds = node.speeds();
    speeds.receive(decode_samples(&report.samples));
    if let Some(told) = report.speeds {
        speeds.restore(told.into());
    }
}
