//! Start of an answer, recovery after lost attempts, and resumption by a cursor.

use tokio::time::{sleep, timeout};
use winch_generation::{answer::Answer, cursor::Cursor};
use winch_route::{pool::Key, router::Call, suspect::Disposition};

use super::{Driver, End, resume_unavailable};
use crate::{
    emit,
    generate::{
        admit::{self, admit},
        engine::Engine,
        job::Refusal,
        strike,
    },
    prelude::*,
};

/// Time without an accepted token after which an answer fails.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);
/// Time allowed for a strike to reach all daemons by gossip.
const STRIKE_PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// Longest wait between two searches for an upstream, or two queries of the pacer, within one
/// recovery. Also the first step of the backoff between recoveries.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

impl<E: Engine> Driver<E> {
    /// Starts the first attempt: at the cursor of a caller that resumes, on the new version of a
    /// move if the answer is assigned to it and a replica has room, and after admission otherwise.
    pub(super) async fn begin(&mut self) -> Result<(), End> {
        let max_wait = self.call.arrival.max_wait;
        let checked = timeout(max_wait, self.check_disposition(Code::Suspect)).await;
        checked.unwrap_or_else(|_| Err(end_from_admission(admit::Error::Expired)))?;
        if let Some(point) = self.job.resume.clone() {
            return self.resume_at(point.cursor, point.tokens);
        }
        if let Some(key) = self.try_new_version() {
            self.submit(key, false, false);
            return Ok(());
        }
        let admitted = admit(&self.fleet, self.call.clone(), self.output.closed()).await;
        let key = admitted.map_err(end_from_admission)?;
        self.submit(key, false, false);
        Ok(())
    }

    /// Places the call on the new version of a move if a replica has room, and otherwise switches
    /// to the old version. Returns `None` without a move, or after the switch.
    pub(super) fn try_new_version(&mut self) -> Option<Key> {
        self.fallback.as_ref()?;
        let now = self.fleet.now();
        let key = self.fleet.routing().router.try_start(&self.call, now).ok();
        if key.is_none() {
            self.fall_back();
        }
        key
    }

    /// Restarts the answer on the old version if a version move assigned it to the new one.
    ///
    /// Must not be called once any of the answer has been sent to the caller.
    pub(super) fn fall_back(&mut self) {
        if let Some(version) = self.fallback.take() {
            self.answer = Answer::new(self.job.prompt.as_bytes());
            self.call.runs = version;
            self.call.move_subset = None;
            self.tried.clear();
        }
    }

    /// Resumes an answer that another daemon or an earlier connection began.
    pub(super) fn resume_at(
        &mut self,
        cursor: Cursor,
        tokens: Option<Vec<String>>,
    ) -> Result<(), End> {
        self.call.runs = cursor.version.as_str().into();
        self.call.move_subset = None;
        let replica = self.fleet.routing().router.pool.find(&cursor.replica);
        let replica = replica.filter(|key| self.fleet.address(*key).is_some());
        if let Some(tokens) = tokens {
            let prefix = tokens.iter().map(String::as_str);
            self.answer = Answer::with_prefix(self.job.prompt.as_bytes(), prefix);
            let key = match replica {
                Some(key) => key,
                None => self.choose_upstream().map_err(|()| End::Failed(no_upstream()))?,
            };
            if replica.is_some() {
                self.fleet.routing().router.begin(key, self.call.prefix);
            }
            self.submit(key, false, false);
            return Ok(());
        }
        // Only the engine that generated the tokens can replay them to a caller that did not send
        // them.
        let Some(key) = replica else {
            return Err(End::Failed(resume_unavailable()));
        };
        self.replay_until = cursor.offset;
        self.fleet.routing().router.begin(key, self.call.prefix);
        self.submit(key, true, false);
        Ok(())
    }

    /// Refuses a request that must not run; the caller gets `code`. One that must be isolated waits
    /// until no other isolated request runs on this daemon; requests that are not isolated may still
    /// run on its replica.
    pub(super) async fn check_disposition(&mut self, code: Code) -> Result<(), End> {
        self.refuse_suspect(code)?;
        let disposition = strike::disposition(&self.fleet, self.job.fingerprint);
        if disposition != Disposition::Isolated || self.isolation_permit.is_some() {
            return Ok(());
        }
        let request = format!("{:016x}", self.job.request);
        emit!(Event::RequestSuspected, request = request, standing = "isolated");
        let permit = self.fleet.isolation.clone().acquire_owned();
        tokio::select! {
            permit = permit => self.isolation_permit = permit.ok(),
            () = self.output.closed() => return Err(End::Disconnected),
        }
        // Strikes that other daemons are publishing at this time must arrive before the request is
        // checked again.
        tokio::select! {
            () = sleep(STRIKE_PROPAGATION_TIME) => {}
            () = self.output.closed() => return Err(End::Disconnected),
        }
        self.refuse_suspect(code)
    }

    /// Fails the answer with `code` if the request has so many strikes that it must not run at all.
    fn refuse_suspect(&self, code: Code) -> Result<(), End> {
        if strike::disposition(&self.fleet, self.job.fingerprint) != Disposition::Refused {
            return Ok(());
        }
        let request = format!("{:016x}", self.job.request);
        emit!(Event::RequestSuspected, request = request, standing = "refused");
        let message = "engines died of this request".to_owned();
        Err(End::Failed((code, message)))
    }

    /// The call with the number of tokens that a resume prefills: the prompt and all accepted
    /// tokens.
    pub(super) fn resume_call(&self) -> Call {
        let mut call = self.call.clone();
        call.prefill_tokens += self.answer.len();
        call
    }

    /// Chooses the upstream of a resume and counts the call on it.
    ///
    /// Replicas on which attempts failed are the last resort. If the request has strikes, replicas
    /// that run another request with strikes are excluded if possible. The error means that no
    /// upstream is eligible.
    pub(super) fn choose_upstream(&mut self) -> Result<Key, ()> {
        let mut excluded = self.tried.clone();
        if strike::disposition(&self.fleet, self.job.fingerprint) != Disposition::Clear {
            excluded.extend(strike::conflicting_replicas(&self.fleet, self.job.fingerprint));
        }
        let call = self.resume_call();
        let now = self.fleet.now();
        let mut routing = self.fleet.routing();
        let tried = &self.tried;
        let chosen = routing.router.reassign(&call, &excluded, now);
        let chosen = chosen.or_else(|_| routing.router.reassign(&call, tried, now));
        let chosen = chosen.or_else(|_| routing.router.reassign(&call, &[], now));
        chosen.map_err(drop)
    }

    /// Starts the next attempt after all running ones were lost.
    pub(super) async fn recover(&mut self) -> Result<(), End> {
        if self.replay_until > self.answer.len() {
            return Err(End::Failed(resume_unavailable()));
        }
        let checked =
            timeout(self.progress_time_left(), self.check_disposition(Code::EnginesCrashed)).await;
        checked.unwrap_or_else(|_| Err(no_progress()))?;
        if self.is_unsent() {
            self.fall_back();
        }
        self.back_off().await?;
        self.wait_for_pacer().await?;
        loop {
            if let Ok(key) = self.choose_upstream() {
                self.submit(key, false, false);
                if !self.active.is_empty() {
                    return Ok(());
                }
            }
            self.check_progress()?;
            self.tried.clear();
            self.restart_on_current_version();
            self.wait_before_retry().await?;
        }
    }

    /// Whether no daemon has sent any of the answer to the caller.
    pub(super) fn is_unsent(&self) -> bool {
        !self.output.has_begun() && self.job.resume.is_none()
    }

    /// Waits with exponential backoff between consecutive recoveries; the first one does not wait.
    async fn back_off(&mut self) -> Result<(), End> {
        const MAX_DOUBLINGS: u32 = 5;
        self.check_progress()?;
        self.consecutive_recoveries += 1;
        let Some(doublings) = self.consecutive_recoveries.checked_sub(2) else {
            return Ok(());
        };
        let wait = SEARCH_INTERVAL * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        tokio::select! {
            () = sleep(wait) => Ok(()),
            () = self.output.closed() => Err(End::Disconnected),
        }
    }

    /// Fails an answer without progress for [`PROGRESS_TIMEOUT`].
    fn check_progress(&self) -> Result<(), End> {
        if self.progress_time_left().is_zero() { Err(no_progress()) } else { Ok(()) }
    }

    /// Time after which the answer fails unless there is progress.
    fn progress_time_left(&self) -> Duration {
        PROGRESS_TIMEOUT.saturating_sub(self.fleet.now().saturating_sub(self.progressed_at))
    }

    /// Restarts the answer on the version that the route has now, the old one during a move, if
    /// nothing of the answer was sent to the caller.
    pub(super) fn restart_on_current_version(&mut self) {
        if !self.is_unsent() {
            return;
        }
        let Some(assignment) = self.fleet.assign(&self.job.model, self.job.request) else {
            return;
        };
        let version = assignment.fallback.unwrap_or(assignment.version);
        if version != self.call.runs {
            self.answer = Answer::new(self.job.prompt.as_bytes());
            self.call.runs = version;
            self.call.move_subset = None;
        }
    }

    /// Waits until the pacer lets this resume start its prefill.
    pub(super) async fn wait_for_pacer(&mut self) -> Result<(), End> {
        let now = self.fleet.now();
        let waiter =
            self.fleet.routing().router.pacer(&self.call.runs, now).0.enqueue(self.answer.len());
        loop {
            {
                let now = self.fleet.now();
                let mut routing = self.fleet.routing();
                let (pacer, replicas) = routing.router.pacer(&self.call.runs, now);
                if pacer.try_start(waiter, replicas) {
                    self.paced_version = Some(self.call.runs.clone());
                    return Ok(());
                }
            }
            let waited = self.wait_before_retry().await;
            if let Err(end) = waited.and_then(|()| self.check_progress()) {
                let now = self.fleet.now();
                self.fleet.routing().router.pacer(&self.call.runs, now).0.remove(waiter);
                return Err(end);
            }
        }
    }

    /// Waits until any resume of this daemon ends its prefill, but at most [`SEARCH_INTERVAL`].
    pub(super) async fn wait_before_retry(&mut self) -> Result<(), End> {
        tokio::select! {
            () = self.fleet.prefill_ended.notified() => Ok(()),
            () = sleep(SEARCH_INTERVAL) => Ok(()),
            () = self.output.closed() => Err(End::Disconnected),
        }
    }
}

/// How an answer ends whose call was not admitted.
fn end_from_admission(error: admit::Error) -> End {
    match error {
        admit::Error::Disconnected => End::Disconnected,
        error => {
            let code = error.code();
            End::Failed((code, retry_message(code, error.retry_after())))
        }
    }
}

fn retry_message(code: Code, seconds: Option<u64>) -> String {
    let seconds = seconds.unwrap_or(1);
    format!("{}; try again in {seconds} s", code.name())
}

/// How an answer ends that has made no progress for [`PROGRESS_TIMEOUT`].
fn no_progress() -> End {
    let message = "no engine could go on with the answer".to_owned();
    End::Failed((Code::GenerationFailed, message))
}

fn no_upstream() -> Refusal {
    (Code::NoUpstream, "no upstream can take the request".to_owned())
}
