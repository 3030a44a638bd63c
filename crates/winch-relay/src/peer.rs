//! Knowledge from other daemons, for a daemon that starts while the store is away.
//!
//! The wire is one length-delimited frame each way: an empty request, and a
//! [`Snapshot`]. What it holds came from the store; nothing is agreed on here.

use std::{io, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt, stream::FuturesUnordered};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{node::Node, prelude::*, store::Change};

/// Longest time for one peer's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest frame in bytes.
const MAX_FRAME: usize = 8 * 1024 * 1024;
/// Connections that are served at once; more are closed.
const MAX_CONNECTIONS: usize = 64;

/// What one daemon knows.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub plan_version: u64,
    /// The configuration as it was published; empty if none is known.
    #[prost(bytes = "bytes", tag = "2")]
    pub plan: Bytes,
    /// The replicas.
    #[prost(message, repeated, tag = "3")]
    pub replicas: Vec<Listed>,
}

/// One replica of a [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct Listed {
    /// See [`Replica::id`].
    #[prost(string, tag = "1")]
    pub id: String,
    /// See [`Replica::service`].
    #[prost(string, tag = "2")]
    pub service: String,
    /// See [`Replica::address`].
    #[prost(string, tag = "3")]
    pub address: String,
    /// See [`Replica::dc`].
    #[prost(string, tag = "4")]
    pub dc: String,
    /// See [`Replica::version`].
    #[prost(string, tag = "5")]
    pub version: String,
    /// See [`Replica::slots`].
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// See [`Replica::draining`].
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// See [`Replica::born_ms`].
    #[prost(uint64, optional, tag = "8")]
    pub born_ms: Option<u64>,
}

impl From<&Replica> for Listed {
    fn from(replica: &Replica) -> Self {
        Self {
            id: replica.id.to_string(),
            service: replica.service.to_string(),
            address: replica.address.to_string(),
            dc: replica.dc.to_string(),
            version: replica.version.to_string(),
            slots: replica.slots,
            draining: replica.draining,
            born_ms: replica.born_ms,
        }
    }
}

impl Listed {
    fn change(self) -> Change {
        let id: Name = self.id.into();
        let Ok(address) = self.address.parse() else {
            return Change::Unreadable { id, fault: format!("address `{}`", self.address) };
        };
        Change::Put(Replica {
            id,
            service: self.service.into(),
            address,
            dc: self.dc.into(),
            version: self.version.into(),
            slots: self.slots,
            draining: self.draining,
            born_ms: self.born_ms,
        })
    }
}

fn codec(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_framed(stream)
}

/// What this daemon knows.
pub fn snapshot<D: Dialect>(node: &Node<D>) -> Snapshot {
    let published = node.published();
    Snapshot {
        plan_version: published.as_ref().map_or(0, |published| published.plan.version),
        plan: published.map(|published| published.document).unwrap_or_default(),
        replicas: node.catalog().replicas().map(|replica| Listed::from(&**replica)).collect(),
    }
}

/// Answers other daemons for as long as the daemon runs.
pub async fn serve<D: Dialect>(node: Arc<Node<D>>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        if connections.len() >= MAX_CONNECTIONS {
            continue;
        }
        let node = node.clone();
        connections.spawn(async move {
            // A peer that breaks off has nothing to be told.
            let _ = timeout(ASK_TIMEOUT, answer(&node, stream)).await;
        });
    }
}

async fn answer<D: Dialect>(node: &Node<D>, stream: TcpStream) -> io::Result<()> {
    let mut framed = codec(stream);
    if framed.next().await.transpose()?.is_some() {
        framed.send(Bytes::from(snapshot(node).encode_to_vec())).await?;
    }
    Ok(())
}

async fn ask(address: SocketAddr) -> io::Result<Snapshot> {
    let late = |_| io::Error::from(io::ErrorKind::TimedOut);
    let exchange = async {
        let mut framed = codec(TcpStream::connect(address).await?);
        framed.send(Bytes::new()).await?;
        let frame = framed.next().await.transpose()?.unwrap_or_else(BytesMut::new);
        Snapshot::decode(frame).map_err(io::Error::other)
    };
    timeout(ASK_TIMEOUT, exchange).await.map_err(late)?
}

/// Asks the seeds and takes over what they know.
///
/// The newest configuration wins; a list of replicas is only taken while none is
/// known, and stays open to correction until the store answers.
pub async fn learn<D: Dialect>(node: &Node<D>) {
    let settings = &node.settings;
    let seeds = settings.seeds.iter().filter(|seed| **seed != settings.peers);
    let mut asking: FuturesUnordered<_> = seeds.map(|seed| ask(*seed)).collect();
    while let Some(asked) = asking.next().await {
        let Ok(snapshot) = asked else { continue };
        let (version, replicas) = (snapshot.plan_version, snapshot.replicas.len());
        emit!(Event::PeerAnswered, version = version, replicas = replicas);
        adopt(node, snapshot);
    }
}

fn adopt<D: Dialect>(node: &Node<D>, snapshot: Snapshot) {
    if !snapshot.plan.is_empty() {
        match node.dialect.plan(&snapshot.plan) {
            Ok(plan) => drop(node.adopt(plan, snapshot.plan)),
            Err(fault) => {
                emit!(Event::ConfigUnreadable, fault = fault, version = snapshot.plan_version);
            }
        }
    }
    if node.catalog().is_empty() {
        node.list(snapshot.replicas.into_iter().map(Listed::change).collect(), false);
    }
}
