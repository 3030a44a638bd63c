//! One request of a stream at one replica, until the first events of its run.

use bytes::Bytes;
use http::StatusCode;
use tokio::io::AsyncWrite;
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};

use super::{
    Attempt, Session, Target,
    run::{Read, Source},
};
use crate::{
    delivery::Delivery, exchange::CallReply, forward, job::Job, memory, node::Node, prelude::*,
    protocol::Dispatch,
};

/// Largest body of a reply that is not a stream.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A run that has yielded its first events.
pub(super) struct Started {
    pub(super) reply: Reply,
    pub(super) source: Source,
    pub(super) read: Read,
}

/// An encoded request, which borrows nothing of its session: while it is under way, the session may
/// send another one.
pub(super) struct Sending<'a, P: Protocol> {
    node: &'a Arc<Node<P>>,
    job: &'a Job,
    replica: Arc<Replica>,
    request: Bytes,
    delivery: Delivery,
    last_event: Option<u64>,
}

impl<'a, P: Protocol, W: AsyncWrite + Unpin> Session<'a, P, W> {
    /// The request that starts or resumes the stream at `target`.
    pub(super) fn sending(&self, target: &Target, delivery: Delivery) -> Sending<'a, P> {
        let dispatch = Dispatch {
            replica: &target.replica,
            time_left: self.job.time_to_deadline(Instant::now()),
            team: self.job.team.as_ref().map(|team| &team.name),
            priority: self.job.priority.level(self.is_repeated(target)),
            after_event: self.last_event,
            copy_to: target.copy_to.as_ref().map(|replica| replica.address),
            copy_from: target.copy_from.as_ref(),
        };
        Sending {
            node: self.node,
            job: self.job,
            replica: target.replica.clone(),
            request: self.node.protocol.encode_request(&self.job.call, &dispatch),
            delivery,
            last_event: self.last_event,
        }
    }

    /// Whether the request was lost before, at a replica or with an earlier daemon, and starts
    /// again from its prompt.
    fn is_repeated(&self, target: &Target) -> bool {
        target.copy_from.is_none() && (self.trace.was_lost() || self.last_event.is_some())
    }
}

impl<P: Protocol> Sending<'_, P> {
    /// Sends the request on `connection` and reads the first events; calls `on_head` once the
    /// replica has begun to reply with a stream.
    ///
    /// # Errors
    /// How the attempt has ended, if no event comes.
    pub(super) async fn start(
        self,
        mut connection: Connection,
        on_head: impl FnOnce(),
    ) -> Result<Started, Attempt> {
        let reply = match self.request(&mut connection).await {
            Ok(reply) => reply,
            Err(attempt) => {
                if matches!(attempt, Attempt::Refused { .. }) {
                    self.delivery.not_run();
                }
                if attempt.leaves_connection() {
                    self.node.pool.put(self.replica.address, connection);
                }
                return Err(attempt);
            }
        };
        on_head();
        let source = Source::new(connection, self.delivery, &self.node.body_blocks);
        let (source, read) = source.next(self.last_event).await;
        match read.failure(self.last_event) {
            Some(cause) => Err(Attempt::Broken(cause.to_owned())),
            None => Ok(Started { reply, source, read }),
        }
    }

    /// Sends the request, and reads the head of a stream.
    async fn request(&self, connection: &mut Connection) -> Result<Reply, Attempt> {
        let call = &self.job.call;
        let matcher = CallReply { protocol: &self.node.protocol, id: call.id.as_ref() };
        let exchange = self.delivery.exchange(connection, &call.method, &self.request, &matcher);
        let reply = exchange.await;
        self.check_reply(reply.map_err(broken)?, connection).await
    }

    /// Takes what the replica says in the head of its reply; returns the reply if it is a stream.
    async fn check_reply(
        &self,
        mut reply: Reply,
        connection: &mut Connection,
    ) -> Result<Reply, Attempt> {
        let meta = self.node.protocol.decode_reply_meta(&reply);
        self.node.apply_reply(&self.replica, &meta, &reply);
        if self.job.is_forwarded {
            forward::name_replica(&mut reply, &self.replica);
        }
        if meta.not_run {
            // The connection can be reused only after the body of the reply has been read.
            self.read_body(connection).await.map_err(broken)?;
            // A replica that names a limit refuses requests although it has room for them.
            let is_unavailable = reply.status == StatusCode::SERVICE_UNAVAILABLE;
            return Err(Attempt::Refused {
                is_full: is_unavailable && meta.statement.limit.is_none(),
            });
        }
        if !meta.signed || meta.encoded {
            return Err(Attempt::Broken(format!(
                "reply with status {} is unsigned or encoded",
                reply.status.as_u16()
            )));
        }
        if !reply.status.is_success() {
            let body = self.read_body(connection).await.map_err(broken)?;
            return Err(Attempt::ErrorReply(reply, body));
        }
        Ok(reply)
    }

    /// Reads the body of a reply that is not a stream.
    async fn read_body(&self, connection: &mut Connection) -> Result<Bytes, Error> {
        memory::read_body(connection, &self.node.body_blocks, MAX_BODY_BYTES).await
    }
}

/// The end of an attempt whose connection failed.
fn broken(error: Error) -> Attempt {
    Attempt::Broken(error.to_string())
}
