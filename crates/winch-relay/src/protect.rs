//! New copies for runs whose copy is lost.
//!
//! A run is copied by its replica from its start on; that copy dies with its
//! holder. Then a snapshot is made elsewhere on demand, and made again before it
//! expires, until the run ends.

use std::sync::{Mutex, PoisonError};

use tokio::{
    task::AbortHandle,
    time::{sleep, timeout},
};
use winch_http::client::Error;

use crate::{counter, dialect::Copy, node::Node, place, prelude::*};

/// Longest time to make a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(600);
/// Part of a snapshot's life after which it is made again.
const REFRESH_SHARE: f64 = 0.6;
/// Pause after a snapshot that could not be made.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Attempts in a row that may fail.
const MAX_FAILURES: u32 = 4;
/// Longest answer in bytes.
const MAX_ANSWER: usize = 16 * 1024;

/// The run to protect.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Identity of the run.
    pub run: Name,
    /// The replica that runs it.
    pub source: Arc<Replica>,
    /// How long a snapshot is kept.
    pub life: Duration,
}

/// Makes snapshots of one run until it is dropped; the last one is then freed.
#[derive(Debug)]
pub struct Protector<D: Dialect> {
    node: Arc<Node<D>>,
    source: Arc<Replica>,
    copy: Arc<Mutex<Option<Copy>>>,
    task: AbortHandle,
}

impl<D: Dialect> Protector<D> {
    /// Starts to make snapshots.
    pub fn start(node: &Arc<Node<D>>, subject: Subject) -> Self {
        let copy = Arc::new(Mutex::new(None));
        let source = subject.source.clone();
        let task = node.tasks.spawn(protect(node.clone(), subject, copy.clone()));
        Self { node: node.clone(), source, copy, task: task.abort_handle() }
    }

    /// Ends the protection and hands out the newest snapshot, for the run to go on from it.
    pub fn into_copy(self) -> Option<Copy> {
        self.take()
    }

    fn take(&self) -> Option<Copy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl<D: Dialect> Drop for Protector<D> {
    fn drop(&mut self) {
        self.task.abort();
        let Some(copy) = self.take() else { return };
        let (node, source) = (self.node.clone(), self.source.clone());
        let release = async move { release(&node, &source, &copy.name).await };
        self.node.tasks.spawn(timeout(SNAPSHOT_TIMEOUT, release));
    }
}

/// Frees a snapshot at its source and its holder; otherwise it expires by itself.
async fn release<D: Dialect>(node: &Node<D>, source: &Replica, name: &str) {
    let (method, request) = node.dialect.release_request(name, source);
    let freed = async {
        let mut connection = node.pool.open(source.address).await?;
        connection.exchange(&method, &request, |_| true).await?;
        connection.body(MAX_ANSWER).await?;
        node.pool.put(source.address, connection);
        Ok::<(), Error>(())
    };
    counter::snapshot(if freed.await.is_ok() { "freed" } else { "left" });
}

async fn protect<D: Dialect>(node: Arc<Node<D>>, subject: Subject, copy: Arc<Mutex<Option<Copy>>>) {
    let mut failures = 0;
    let mut holder = None;
    while failures < MAX_FAILURES {
        let place = holder.take().or_else(|| choose(&node, &subject));
        let made = match &place {
            Some(place) => snapshot(&node, &subject, place).await,
            None => None,
        };
        let pause = if made.is_some() {
            failures = 0;
            holder = place;
            subject.life.mul_f64(REFRESH_SHARE)
        } else {
            failures += 1;
            RETRY_PAUSE
        };
        counter::snapshot(if made.is_some() { "ok" } else { "failed" });
        *copy.lock().unwrap_or_else(PoisonError::into_inner) = made;
        sleep(pause).await;
    }
}

fn choose<D: Dialect>(node: &Node<D>, subject: &Subject) -> Option<Arc<Replica>> {
    let source = &subject.source;
    let (now, rng) = (Instant::now(), &mut node.rng());
    place::blind_copy_place(&node.catalog(), source, &source.dc, now, rng)
}

async fn snapshot<D: Dialect>(
    node: &Node<D>,
    subject: &Subject,
    holder: &Arc<Replica>,
) -> Option<Copy> {
    let made = timeout(SNAPSHOT_TIMEOUT, order(node, subject, holder)).await;
    let name = made.ok().and_then(Result::ok).flatten()?;
    emit!(
        Event::CopyReplaced,
        request = subject.run,
        replica = subject.source.id,
        copy = holder.id,
        dc = holder.dc
    );
    Some(Copy { replica: holder.clone(), known_at: subject.source.address, name })
}

async fn order<D: Dialect>(
    node: &Node<D>,
    subject: &Subject,
    holder: &Replica,
) -> Result<Option<Name>, Error> {
    let source = &subject.source;
    let (method, request) = node.dialect.snapshot_request(&subject.run, source, holder.address);
    let mut connection = node.pool.open(source.address).await?;
    let reply = connection.exchange(&method, &request, |_| true).await?;
    let body = connection.body(MAX_ANSWER).await?;
    node.pool.put(source.address, connection);
    Ok(node.dialect.snapshot(&reply, &body))
}
