//! Translation between the product's types and one platform's messages.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use winch_http::head;

use crate::{config::Config, controller::State, prelude::*, replica::Report};

/// Where the copy of a run lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopy {
    /// The replica that holds it.
    pub replica: Arc<Replica>,
    /// Address under which it is known: the holder's own for a copy that grows with
    /// the run, the source's for one that was made on demand.
    pub lookup_address: SocketAddr,
    /// Its name there.
    pub name: Name,
}

/// What a replica is asked beyond the caller's request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The replica that shall run it; another one must refuse.
    pub replica: &'a Replica,
    /// Time that is left.
    pub time_left: Option<Duration>,
    /// The caller's team.
    pub team: Option<&'a Name>,
    /// The stream goes on after this event.
    pub after_event: Option<u64>,
    /// Where the replica shall keep a copy of the run.
    pub copy_to: Option<SocketAddr>,
    /// The copy from which the run goes on.
    pub copy_from: Option<&'a KvCopy>,
}

/// What the head of a replica's reply says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyMeta {
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
pub struct StatusRow {
    /// Key of the row.
    pub key: Name,
    /// JSON text.
    pub value: Name,
}

/// Translates messages of one platform.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Decodes a caller's request.
    fn decode_call(&self, request: head::Request, body: Bytes, received_at: Instant) -> Call;

    /// Encodes a request to a replica.
    fn encode_request(&self, call: &Call, dispatch: &Dispatch<'_>) -> Bytes;

    /// Decodes the head of a replica's reply.
    fn decode_reply_meta(&self, reply: &head::Reply) -> ReplyMeta;

    /// Encodes the question for a replica's report.
    fn encode_report_request(&self, replica: &Replica) -> (Method, Bytes);

    /// Decodes a replica's report.
    fn decode_report(&self, body: &[u8]) -> Option<Report>;

    /// Encodes the order to copy `run` from the replica that runs it to `target`.
    fn encode_snapshot_request(
        &self,
        run: &str,
        source: &Replica,
        target: SocketAddr,
    ) -> (Method, Bytes);

    /// Encodes the order to free the copy `name` that was made at `source`.
    fn encode_release_request(&self, name: &str, source: &Replica) -> (Method, Bytes);

    /// The name of the copy that was made.
    fn decode_snapshot(&self, reply: &head::Reply, body: &[u8]) -> Option<Name>;

    /// Encodes the question for a replica's identity and health.
    fn encode_health_request(&self, path: &str, replica: &Replica) -> (Method, Bytes);

    /// The identity of a replica that has answered it.
    fn decode_health(&self, reply: &head::Reply) -> Option<Name>;

    /// Decodes a published configuration.
    ///
    /// # Errors
    /// What is wrong with it.
    fn decode_config(&self, document: &[u8]) -> Result<Config, String>;

    /// Encodes the state of a move of `service` to the version `to`.
    fn encode_move_status(&self, service: &str, to: &str, state: State) -> StatusRow;

    /// Whether `request` asks if the daemon is ready.
    fn is_ready_request(&self, request: &head::Request) -> bool;
}
