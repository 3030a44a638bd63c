//! Memory for the bodies of callers' requests, which all requests of the daemon share.
//!
//! So many long requests at the same time cannot take the daemon's memory: what finds no room is
//! refused, before its body is read if the length is stated.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use snafu::Snafu;
use tokio::{io::AsyncRead, sync::Semaphore};
use winch_http::{
    Fault,
    body::{Decoder, Framing},
    server::{self, Reader},
};

use crate::memory::Reservation;

/// Number of copies of a body in memory: the caller's, and the request that is sent to a replica.
const COPIES: usize = 2;

/// Why no complete body was read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes could not be read, or are no acceptable body.
    #[snafu(display("{source}"), context(false))]
    Unread {
        /// The reader's error.
        source: server::Error,
    },
    /// No memory is left.
    #[snafu(display("no memory is left for the body"))]
    NoRoom,
}

/// Reads the body of a request, of at most `limit` bytes. It holds its part of `blocks` until it is
/// dropped.
///
/// # Errors
/// Why no complete body was read.
pub async fn read_body<R: AsyncRead + Unpin>(
    reader: &mut Reader<R>,
    blocks: &Arc<Semaphore>,
    framing: Framing,
    limit: usize,
) -> Result<Bytes, Error> {
    let mut reservation = Reservation::new(blocks);
    let mut body = BytesMut::new();
    if let Framing::Length(length) = framing {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        check_length(length, limit)?;
        reserve(&mut reservation, length)?;
        body.reserve(length);
    }
    let mut decoder = Decoder::new(framing);
    while let Some(data) = reader.chunk(&mut decoder).await? {
        let length = body.len() + data.len();
        check_length(length, limit)?;
        reserve(&mut reservation, length)?;
        body.extend_from_slice(&data);
    }
    Ok(reservation.hold(body.freeze()))
}

fn reserve(reservation: &mut Reservation, length: usize) -> Result<(), Error> {
    reservation.grow_to(length * COPIES).map_err(|_| Error::NoRoom)
}

fn check_length(length: usize, limit: usize) -> Result<(), Error> {
    if length > limit {
        return Err(server::Error::from(Fault::BodyTooLarge).into());
    }
    Ok(())
}
