//! Memory for long replies, which all requests of the daemon share; see [`intake`](crate::intake) for that of requests.
//!
//! So replicas that send without end cannot take the daemon's memory from the others: what finds no
//! room is broken off.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use winch_http::{
    Fault,
    client::{Connection, Error},
};

/// Blocks that all replies may hold at the same time, and as many that all requests may hold.
pub const MAX_BLOCKS: usize = 96;
/// Size of a block.
const BLOCK_BYTES: usize = 256 * 1024;
/// Bytes of each body that are not counted.
const FREE_BYTES: usize = 32 * 1024;

/// The part of the shared memory that one body holds.
#[derive(Debug)]
pub struct Reservation {
    blocks: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// An empty reservation of `blocks`.
    pub fn new(blocks: &Arc<Semaphore>) -> Self {
        Self { blocks: blocks.clone(), held: None }
    }

    /// Makes room for a body of this length.
    ///
    /// # Errors
    /// [`Fault::BodyTooLarge`] if no memory is left.
    pub fn grow_to(&mut self, length: usize) -> Result<(), Fault> {
        let needed = length.saturating_sub(FREE_BYTES).div_ceil(BLOCK_BYTES);
        let missing = needed.saturating_sub(self.held());
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).map_err(|_| Fault::BodyTooLarge)?;
        let permit = self.blocks.clone().try_acquire_many_owned(missing);
        let permit = permit.map_err(|_| Fault::BodyTooLarge)?;
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        Ok(())
    }

    /// Gives the memory back.
    pub fn clear(&mut self) {
        self.held = None;
    }

    /// Ties the reservation to a body, which holds it until the body is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        match self.held() {
            0 => bytes,
            _ => Bytes::from_owner(Body { bytes, _reservation: self }),
        }
    }

    fn held(&self) -> usize {
        self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }
}

/// A body together with its reservation, which it holds until it is dropped.
struct Body {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the rest of a reply's body of at most `limit` bytes.
///
/// # Errors
/// Those of the connection, and [`Fault::BodyTooLarge`] if the body is longer or finds no room.
pub async fn read_body(
    connection: &mut Connection,
    blocks: &Arc<Semaphore>,
    limit: usize,
) -> Result<Bytes, Error> {
    let (mut body, mut reservation) = (BytesMut::new(), Reservation::new(blocks));
    while let Some(data) = connection.chunk().await? {
        let length = body.len() + data.len();
        if length > limit {
            return Err(Fault::BodyTooLarge.into());
        }
        reservation.grow_to(length)?;
        body.extend_from_slice(&data);
    }
    Ok(reservation.hold(body.freeze()))
}
