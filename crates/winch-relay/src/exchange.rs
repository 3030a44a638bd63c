//! Exchanges with replicas, in each of which the reply is checked to be the one to its request.
//!
//! A faulty replica may send a reply a second time, where the reply to the next request on the
//! connection is expected. Replies to callers' requests are told apart by the id that they state.
//! The daemon's own requests have no id; their replies are told apart by what they contain, and by
//! a new connection where the content of another reply could do harm.

use bytes::Bytes;
use http::Method;
use winch_http::{
    client::{Connection, Error, Matcher},
    head::Reply,
};

use crate::{forward::CODE, memory, prelude::*};

/// Matches the reply to a caller's request, by the request's id.
///
/// On a reused connection a late second reply to an earlier request may arrive, with the id of that
/// request or without any. There, a reply has to state the id of its request: a refusal that is
/// taken for another request's claims that a request has not run which is running. A request without
/// an id is sent on a new connection.
#[derive(Debug)]
pub struct CallReply<'a, P> {
    /// Decodes the id of a reply.
    pub protocol: &'a P,
    /// Id of the request, if its caller gave one.
    pub id: Option<&'a Name>,
}

impl<P: Protocol> Matcher for CallReply<'_, P> {
    fn matches(&self, reply: &Reply, is_first: bool) -> bool {
        let meta = self.protocol.decode_reply_meta(reply);
        match (meta.id, self.id) {
            (Some(reply_id), Some(request_id)) => reply_id == *request_id,
            (Some(_), None) => false,
            (None, _) => is_first,
        }
    }
}

/// Matches the reply to a request that was passed on to another daemon: one that the daemon made
/// itself, or that of a replica.
#[derive(Debug)]
pub struct ForwardedReply<'a, P>(pub CallReply<'a, P>);

impl<P: Protocol> Matcher for ForwardedReply<'_, P> {
    fn matches(&self, reply: &Reply, is_first: bool) -> bool {
        reply.headers.contains_key(CODE) || self.0.matches(reply, is_first)
    }
}

/// Matches the reply to one of the daemon's own requests: it states no id.
#[derive(Debug)]
struct OwnReply<'a, P>(&'a P);

impl<P: Protocol> Matcher for OwnReply<'_, P> {
    fn matches(&self, reply: &Reply, _: bool) -> bool {
        self.0.decode_reply_meta(reply).id.is_none()
    }
}

/// One of the daemon's own requests to a replica.
#[derive(Clone, Debug)]
pub struct Query {
    /// The method.
    pub method: Method,
    /// The complete head and body.
    pub request: Bytes,
    /// Largest body of the reply, in bytes.
    pub max_body_bytes: usize,
}

impl Query {
    /// Sends the request on `connection` and decodes the reply; `None` if `decode` does not accept
    /// it. Only a connection whose reply was accepted is kept for further requests.
    ///
    /// What the replica says of itself is left to `decode`, which may know that another incarnation
    /// has answered.
    async fn send<P: Protocol, T>(
        &self,
        node: &Node<P>,
        replica: &Replica,
        mut connection: Connection,
        decode: impl Fn(&Reply, &[u8]) -> Option<T>,
    ) -> Result<Option<T>, Error> {
        let matcher = OwnReply(&node.protocol);
        let reply = connection.exchange(&self.method, &self.request, &matcher).await?;
        let body =
            memory::read_body(&mut connection, &node.body_blocks, self.max_body_bytes).await?;
        let decoded = decode(&reply, &body);
        if decoded.is_some() {
            node.pool.put(replica.address, connection);
        }
        Ok(decoded)
    }

    /// Sends the request to `replica` and decodes the reply; `None` if `decode` does not accept it.
    ///
    /// A late second reply to another of the daemon's own requests is not accepted either, so that
    /// the request is repeated on a new connection if it was sent on a used one.
    ///
    /// # Errors
    /// Any [`Error`] of the last exchange.
    pub async fn ask<P: Protocol, T>(
        &self,
        node: &Node<P>,
        replica: &Replica,
        decode: impl Fn(&Reply, &[u8]) -> Option<T>,
    ) -> Result<Option<T>, Error> {
        if let Some(connection) = node.pool.take(replica.address)
            && let Ok(Some(decoded)) = self.send(node, replica, connection, &decode).await
        {
            return Ok(Some(decoded));
        }
        self.ask_alone(node, replica, decode).await
    }

    /// Like [`Self::ask()`], but always on a new connection, on which no reply to another request
    /// can arrive.
    ///
    /// # Errors
    /// Any [`Error`].
    pub async fn ask_alone<P: Protocol, T>(
        &self,
        node: &Node<P>,
        replica: &Replica,
        decode: impl Fn(&Reply, &[u8]) -> Option<T>,
    ) -> Result<Option<T>, Error> {
        let connection = node.open_new(replica).await?;
        self.send(node, replica, connection, decode).await
    }
}
