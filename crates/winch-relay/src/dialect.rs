//! Translation between the product's types and one platform's messages.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use winch_http::head;

use crate::{config::Config, controller::State, prelude::*, replica::Report};

/// Where the copy of a run lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The replica that holds it.
    pub replica: Arc<Replica>,
    /// Address under which it is known: the holder's own for a copy that grows with
    /// the run, the source's for one that was made on demand.
    pub known_at: SocketAddr,
    /// Its name there.
    pub name: Name,
}

/// What a replica is asked beyond the caller's request.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// The replica that shall run it; another one must refuse.
    pub replica: &'a Replica,
    /// Time that is left.
    pub left: Option<Duration>,
    /// The caller's team.
    pub team: Option<&'a Name>,
    /// The stream goes on after this event.
    pub after_event: Option<u64>,
    /// Where the replica shall keep a copy of the run.
    pub copy_to: Option<SocketAddr>,
    /// The copy from which the run goes on.
    pub copy_from: Option<&'a Copy>,
}

/// What the head of a replica's reply says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Identity of the request that is answered.
    pub id: Option<Name>,
    /// Whether the reply bears the replica's signature.
    pub signed: bool,
    /// Whether the replica states that it did not run the request.
    pub not_run: bool,
    /// Whether the body is not the replica's own bytes.
    pub encoded: bool,
}

/// The row in which an operator reads how far a move has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Key of the row.
    pub key: Name,
    /// JSON text.
    pub value: Name,
}

/// Translates messages of one platform.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Decodes a caller's request.
    fn call(&self, request: head::Request, body: Bytes, received: Instant) -> Call;

    /// Encodes a request to a replica.
    fn request(&self, call: &Call, order: &Order<'_>) -> Bytes;

    /// Decodes the head of a replica's reply.
    fn facts(&self, reply: &head::Reply) -> Facts;

    /// Encodes the question for a replica's report.
    fn report_request(&self, replica: &Replica) -> (Method, Bytes);

    /// Decodes a replica's report.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// Encodes the order to copy `run` from the replica that runs it to `target`.
    fn snapshot_request(&self, run: &str, source: &Replica, target: SocketAddr) -> (Method, Bytes);

    /// Encodes the order to free the copy `name` that was made at `source`.
    fn release_request(&self, name: &str, source: &Replica) -> (Method, Bytes);

    /// The name of the copy that was made.
    fn snapshot(&self, reply: &head::Reply, body: &[u8]) -> Option<Name>;

    /// Encodes the question for a replica's identity and health.
    fn health_request(&self, path: &str, replica: &Replica) -> (Method, Bytes);

    /// The identity of a replica that has answered it.
    fn healthy(&self, reply: &head::Reply) -> Option<Name>;

    /// Decodes a published configuration.
    ///
    /// # Errors
    /// What is wrong with it.
    fn plan(&self, document: &[u8]) -> Result<Config, String>;

    /// Encodes the state of a move of `service` to the version `to`.
    fn move_status(&self, service: &str, to: &str, state: State) -> Status;

    /// Whether `request` asks if the daemon is ready.
    fn asks_ready(&self, request: &head::Request) -> bool;
}
