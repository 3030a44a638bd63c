//! Translation between this crate's types and the messages of one platform.
//!
//! An adapter implements [`Protocol`]: it decodes callers' requests and replicas'
//! replies, and encodes the requests that the daemon sends to replicas.

use std::{collections::HashMap, net::SocketAddr};

use bytes::Bytes;
use http::Method;
use winch_http::head;

use crate::{config::Config, controller::State, prelude::*, replica::Report};

/// Location of the KV cache copy of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCopy {
    /// The replica that holds the copy.
    pub replica: Arc<Replica>,
    /// Address that identifies the copy together with `name`: the holder's for a copy
    /// that is kept while the run proceeds, the source's for one made on demand.
    pub lookup_address: SocketAddr,
    /// Name of the copy at that address.
    pub name: Name,
}

/// Parameters of one attempt that are sent to its replica with the caller's request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// The only replica that may run the request; any other one must refuse it.
    pub replica: &'a Replica,
    /// Time left until the caller's deadline, if it set one.
    pub time_left: Option<Duration>,
    /// The caller's team.
    pub team: Option<&'a Name>,
    /// Priority level at the replica, 0 (first) to 9; `None` if all requests of the service have
    /// the same priority.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has; the stream continues after it. `None` if
    /// the stream starts from its first event.
    pub after_event: Option<u64>,
    /// Address of the replica that receives a copy of the run's KV cache; `None` if no copy
    /// is to be made.
    pub copy_to: Option<SocketAddr>,
    /// The copy from which the run continues; `None` if it continues from no copy.
    pub copy_from: Option<&'a KvCopy>,
}

/// Metadata read from the head of a replica's reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMeta {
    /// Id of the request that the reply answers; `None` if the reply does not state it.
    pub id: Option<Name>,
    /// Whether the reply has the replica's signature.
    pub signed: bool,
    /// Whether the replica states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding other than `identity`.
    pub encoded: bool,
    /// What the replica says of itself.
    pub statement: Statement,
}

/// What a replica says of itself in a reply, whatever the reply answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Whether it is about to stop and takes no new requests.
    pub draining: bool,
    /// Requests a second that it takes from all daemons together; `None` if it names no limit.
    pub limit: Option<f64>,
    /// How long it wants no request of this daemon; `None` if it does not say so.
    pub pause: Option<Duration>,
    /// Requests that it can refuse within a second for want of room without failing; `None` if
    /// it names no such number.
    pub max_refusals: Option<f64>,
}

/// A row of the store that shows operators the state of a version move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusRow {
    /// Key of the row.
    pub key: Name,
    /// JSON text.
    pub value: Name,
}

/// Encodes and decodes the messages of one platform.
///
/// Methods that encode a request to a replica return its complete head and body. Some also
/// return its method, on which the framing of the reply depends.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Decodes a caller's request, whose head had been read at `received_at`.
    fn decode_call(&self, request: head::Request, body: Bytes, received_at: Instant) -> Call;

    /// Encodes one attempt of a caller's request at the replica of `dispatch`.
    fn encode_request(&self, call: &Call, dispatch: &Dispatch<'_>) -> Bytes;

    /// Encodes a caller's request as another daemon is to receive it. `time_left` is the time until
    /// it is given up, `after_event` the id of the last event that the caller has of a stream.
    fn encode_forwarded(&self, call: &Call, time_left: Duration, after_event: Option<u64>)
    -> Bytes;

    /// Decodes the head of a replica's reply.
    fn decode_reply_meta(&self, reply: &head::Reply) -> ReplyMeta;

    /// Encodes a request for a replica's load report.
    fn encode_report_request(&self, replica: &Replica) -> (Method, Bytes);

    /// Decodes a load report; `None` if it is malformed.
    fn decode_report(&self, body: &[u8]) -> Option<Report>;

    /// Encodes a request for the parts of prompts that a replica has cached.
    fn encode_cache_request(&self, replica: &Replica) -> (Method, Bytes);

    /// Decodes the cached parts: the tokens of each by its id. `None` if the reply is malformed.
    fn decode_cache(&self, body: &[u8]) -> Option<HashMap<Name, u64>>;

    /// Encodes a request to `source` to make a snapshot of `run`: a copy of its KV cache at
    /// `holder`.
    fn encode_snapshot_request(
        &self,
        run: &str,
        source: &Replica,
        holder: SocketAddr,
    ) -> (Method, Bytes);

    /// Encodes a request to `source` to free the snapshot `name` that it made.
    fn encode_release_request(&self, name: &str, source: &Replica) -> (Method, Bytes);

    /// Decodes the name of a snapshot from the reply to the request for it; `None` if the
    /// replica made none.
    fn decode_snapshot(&self, reply: &head::Reply, body: &[u8]) -> Option<Name>;

    /// Encodes a request for a replica's id and health at `path`.
    fn encode_health_request(&self, path: &str, replica: &Replica) -> (Method, Bytes);

    /// Decodes the replica's id from a health reply; `None` if the replica is not healthy.
    fn decode_health(&self, reply: &head::Reply) -> Option<Name>;

    /// Decodes a published configuration.
    ///
    /// # Errors
    /// A description of the fault.
    fn decode_config(&self, document: &[u8]) -> Result<Config, String>;

    /// Encodes the row that shows operators the state of the move of `service` to version
    /// `to`.
    fn encode_move_status(&self, service: &str, to: &str, state: State) -> StatusRow;

    /// Decodes how long a caller waits for the reply to its request, if it says so.
    fn decode_timeout(&self, request: &head::Request) -> Option<Duration>;

    /// Decodes the id that a caller gave its request.
    fn decode_id(&self, request: &head::Request) -> Option<Name>;

    /// Whether `request` is the platform's readiness check.
    fn is_ready_request(&self, request: &head::Request) -> bool;
}
