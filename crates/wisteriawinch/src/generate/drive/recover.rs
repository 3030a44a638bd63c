//! How an answer begins, goes on after a loss, and is taken up from elsewhere.

use tokio::time::sleep;
use winch_generation::{answer::Answer, cursor::Cursor};
use winch_route::{pool::Key, router::Call, suspect::Disposition};

use super::{Driver, End, not_resumable};
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

/// Time without progress after which an accepted answer is given up.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Time in which a strike reaches all daemons.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Pause between looks for a fit upstream.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

impl<E: Engine> Driver<E> {
    pub(super) async fn begin(&mut self) -> Result<(), End> {
        self.check_standing().await?;
        if let Some(held) = self.job.held.clone() {
            return self.take_up(held.cursor, held.tokens);
        }
        if let Some(key) = self.try_trial() {
            self.submit(key, false, false);
            return Ok(());
        }
        let admitted = admit(&self.fleet, self.call.clone(), self.output.closed()).await;
        let key = admitted.map_err(refused)?;
        self.submit(key, false, false);
        Ok(())
    }

    /// Starts on a version on trial, if it has room; otherwise the old version serves.
    pub(super) fn try_trial(&mut self) -> Option<Key> {
        self.fallback.as_ref()?;
        let now = self.fleet.now();
        let key = self.fleet.routing().router.try_start(&self.call, now).ok();
        if key.is_none() {
            self.fall_back();
        }
        key
    }

    /// Starts the answer afresh on the old version, of which nothing has reached the caller.
    pub(super) fn fall_back(&mut self) {
        if let Some(version) = self.fallback.take() {
            self.answer = Answer::new(self.job.prompt.as_bytes());
            self.call.runs = version;
            self.call.move_subset = None;
            self.tried.clear();
        }
    }

    /// Goes on where another daemon, or an earlier connection, left off.
    pub(super) fn take_up(
        &mut self,
        cursor: Cursor,
        tokens: Option<Vec<String>>,
    ) -> Result<(), End> {
        self.call.runs = cursor.version.as_str().into();
        self.call.move_subset = None;
        let home = self.fleet.routing().router.pool.find(&cursor.replica);
        let home = home.filter(|key| self.fleet.address(*key).is_some());
        if let Some(tokens) = tokens {
            let prefix = tokens.iter().map(String::as_str);
            self.answer = Answer::with_prefix(self.job.prompt.as_bytes(), prefix);
            let key = match home {
                Some(key) => key,
                None => self.replace().map_err(|()| End::Failed(no_upstream()))?,
            };
            if home.is_some() {
                self.fleet.routing().router.begin(key, self.call.prefix);
            }
            self.submit(key, false, false);
            return Ok(());
        }
        // Without the tokens only the engine that made them can tell them again.
        let Some(key) = home else {
            return Err(End::Failed(not_resumable()));
        };
        self.skip = cursor.offset;
        self.fleet.routing().router.begin(key, self.call.prefix);
        self.submit(key, true, false);
        Ok(())
    }

    /// Refuses a suspect, or makes it wait until no other suspect runs here.
    pub(super) async fn check_standing(&mut self) -> Result<(), End> {
        self.refuse_suspect()?;
        let standing = strike::standing(&self.fleet, self.job.fingerprint);
        if standing != Disposition::Isolated || self.isolated.is_some() {
            return Ok(());
        }
        let request = format!("{:016x}", self.job.request);
        emit!(Event::SuspectFound, request = request, standing = "isolated");
        let turn = self.fleet.isolation.clone().acquire_owned();
        tokio::select! {
            permit = turn => self.isolated = permit.ok(),
            () = self.output.closed() => return Err(End::Left),
        }
        // Strikes found by other daemons at this moment must arrive first.
        tokio::select! {
            () = sleep(SPREAD_TIME) => {}
            () = self.output.closed() => return Err(End::Left),
        }
        self.refuse_suspect()
    }

    fn refuse_suspect(&self) -> Result<(), End> {
        if strike::standing(&self.fleet, self.job.fingerprint) != Disposition::Refused {
            return Ok(());
        }
        let request = format!("{:016x}", self.job.request);
        emit!(Event::SuspectFound, request = request, standing = "refused");
        let message = "engines died of this request".to_owned();
        Err(End::Failed((Code::Suspect, message)))
    }

    pub(super) fn resume_call(&self) -> Call {
        let mut call = self.call.clone();
        call.prefill_tokens += self.answer.len();
        call
    }

    /// Chooses the upstream of a resume; the attempts that failed come last.
    pub(super) fn replace(&mut self) -> Result<Key, ()> {
        let mut avoid = self.tried.clone();
        if strike::standing(&self.fleet, self.job.fingerprint) != Disposition::Clear {
            avoid.extend(strike::avoid(&self.fleet, self.job.fingerprint));
        }
        let call = self.resume_call();
        let now = self.fleet.now();
        let mut routing = self.fleet.routing();
        let tried = &self.tried;
        let chosen = routing.router.reassign(&call, &avoid, now);
        let chosen = chosen.or_else(|_| routing.router.reassign(&call, tried, now));
        let chosen = chosen.or_else(|_| routing.router.reassign(&call, &[], now));
        chosen.map_err(drop)
    }

    /// Starts the next attempt after all were lost.
    pub(super) async fn recover(&mut self) -> Result<(), End> {
        if self.skip > self.answer.len() {
            return Err(End::Failed(not_resumable()));
        }
        self.check_standing().await?;
        if self.is_fresh() {
            self.fall_back();
        }
        self.back_off().await?;
        self.wait_turn().await?;
        loop {
            if let Ok(key) = self.replace() {
                self.submit(key, false, false);
                if !self.live.is_empty() {
                    return Ok(());
                }
            }
            self.check_progress()?;
            self.tried.clear();
            self.restart_elsewhere();
            self.pause().await?;
        }
    }

    /// Whether nothing of the answer has reached its caller, here or elsewhere.
    fn is_fresh(&self) -> bool {
        !self.output.has_begun() && self.job.held.is_none()
    }

    /// Waits longer the more attempts failed in a row; the first is replaced at once.
    async fn back_off(&mut self) -> Result<(), End> {
        const MOST_DOUBLINGS: u32 = 5;
        self.check_progress()?;
        self.losses += 1;
        let Some(doublings) = self.losses.checked_sub(2) else {
            return Ok(());
        };
        let wait = SEARCH_PAUSE * 2_u32.pow(doublings.min(MOST_DOUBLINGS));
        tokio::select! {
            () = sleep(wait) => Ok(()),
            () = self.output.closed() => Err(End::Left),
        }
    }

    fn check_progress(&self) -> Result<(), End> {
        if self.fleet.now().saturating_sub(self.progress) <= GIVE_UP {
            return Ok(());
        }
        let message = "no engine could go on with the answer".to_owned();
        Err(End::Failed((Code::GenerationFailed, message)))
    }

    /// Moves an answer of which nothing reached the caller to the route's version of now.
    pub(super) fn restart_elsewhere(&mut self) {
        if !self.is_fresh() {
            return;
        }
        let Some(plan) = self.fleet.plan(&self.job.model, self.job.request) else {
            return;
        };
        let version = plan.fallback.unwrap_or(plan.version);
        if version != self.call.runs {
            self.answer = Answer::new(self.job.prompt.as_bytes());
            self.call.runs = version;
            self.call.move_subset = None;
        }
    }

    /// Waits until the pacer lets this resume go.
    pub(super) async fn wait_turn(&mut self) -> Result<(), End> {
        let now = self.fleet.now();
        let ticket =
            self.fleet.routing().router.pacer(&self.call.runs, now).0.enqueue(self.answer.len());
        loop {
            {
                let now = self.fleet.now();
                let mut routing = self.fleet.routing();
                let (pacer, replicas) = routing.router.pacer(&self.call.runs, now);
                if pacer.try_start(ticket, replicas) {
                    self.paced = Some(self.call.runs.clone());
                    return Ok(());
                }
            }
            if let Err(end) = self.pause().await {
                let now = self.fleet.now();
                self.fleet.routing().router.pacer(&self.call.runs, now).0.remove(ticket);
                return Err(end);
            }
        }
    }

    pub(super) async fn pause(&mut self) -> Result<(), End> {
        tokio::select! {
            () = self.fleet.paced.notified() => Ok(()),
            () = sleep(SEARCH_PAUSE) => Ok(()),
            () = self.output.closed() => Err(End::Left),
        }
    }
}

fn refused(error: admit::Error) -> End {
    match error {
        admit::Error::Left => End::Left,
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

fn no_upstream() -> Refusal {
    (Code::NoUpstream, "no upstream can take the request".to_owned())
}
