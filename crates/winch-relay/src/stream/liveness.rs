//! Decides when an attempt abandons a replica that sends nothing.
//!
//! A healthy replica may pause for a second or so and go on. A stream that has begun stays at a
//! silent replica until another one has taken it ([`handover`](super::handover)); it gives the
//! replica up only if that has been unresponsive for longer than a pause. One that cannot fail over
//! would lose everything: it waits until its replica is known to be gone, its connection ends or
//! its deadline passes.

use tokio::{
    io::AsyncWrite,
    time::{sleep, sleep_until},
};

use super::{Session, Target};
use crate::{
    prelude::*,
    probe::{self, Finding},
    pulse::{Pulse, Stopwatch},
    replica::Report,
};

/// Interval of liveness probes while the stream waits for its first event.
const FIRST_EVENT_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of liveness probes while a stalled stream waits for its replica.
const STALL_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Missed probes in a row after which an attempt that can fail over abandons a replica about which
/// nothing else is wrong.
const MAX_MISSES: u32 = 2;
/// Time without a report after which a stream gives its replica up, although no other one is certain
/// to take it. Longer than a healthy replica pauses.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_200);
/// Interval of liveness probes while another replica has the stream, too: it has to be taken back there
/// soon after the silent one goes on.
const OVERLAP_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a report after which a replica that is no longer listed is gone, and a stream that has
/// another place leaves a listed one. Longer than a healthy replica pauses, since one that is not listed
/// any more may still serve.
const GONE_TIME: Duration = Duration::from_secs(3);

/// Time without a first event after which this is logged.
const LATE_TIME: Duration = Duration::from_secs(2);

/// Reports in a row by which the replica has lost the run, after which an attempt that can fail over
/// abandons it. A single one may be older than the request.
const MAX_LOST_REPORTS: u32 = 3;

/// What the latest probes of a replica have found against it.
#[derive(Clone, Copy, Debug, Default)]
struct Probes {
    /// Number of probes that it has missed since its last report.
    misses: u32,
    /// Time since it missed the first of them.
    since: Option<Stopwatch>,
    /// Number of reports in a row by which it has lost the run.
    lost: u32,
}

impl Probes {
    fn record_miss(&mut self, pulse: &Pulse) {
        self.misses += 1;
        self.since.get_or_insert_with(|| pulse.start());
    }

    /// How long the replica has sent no report while this process ran.
    fn unresponsive_time(&self, pulse: &Pulse) -> Duration {
        self.since.map_or(Duration::ZERO, |since| pulse.running_time(since))
    }
}

/// Why an attempt abandons its replica, or hands its stream over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leave {
    /// The replica no longer has the run, for this reason.
    Gone(&'static str),
    /// The replica lives, and knows nothing of the run.
    Lost,
    /// The replica has answered no probe for longer than a healthy one pauses.
    Unresponsive,
    /// The replica is silent. It is given up only once another one has the stream.
    Silent,
}

impl Leave {
    /// The reason for the log.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::Gone(reason) => reason,
            Self::Lost => "lost",
            Self::Unresponsive => "unresponsive",
            Self::Silent => "silent",
        }
    }
}

/// How the silence of a replica has ended while another one has its stream, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// The replica has answered a probe.
    Answered,
    /// The replica no longer has the run, or has been silent for longer than any healthy one.
    Lost,
}

/// What an attempt has found out about a replica that has sent no event yet.
#[derive(Debug)]
pub(super) struct StartWatch {
    probes: Probes,
    started_at: Instant,
    /// Whether the late first event was logged.
    is_reported: bool,
}

impl Default for StartWatch {
    fn default() -> Self {
        Self { probes: Probes::default(), started_at: Instant::now(), is_reported: false }
    }
}

/// What an attempt has found out about its silent replica since the last event.
#[derive(Debug)]
pub(super) struct Watch {
    probes: Probes,
    /// Time since the last event.
    idle: Stopwatch,
    /// Whether a probe was answered.
    was_alive: bool,
    /// Whether the holder of the copy was asked to continue the run.
    was_handed_over: bool,
    /// Whether the replica was probed.
    was_probed: bool,
}

impl Watch {
    /// A silence that begins now.
    pub(super) fn start(pulse: &Pulse) -> Self {
        Self {
            probes: Probes::default(),
            idle: pulse.start(),
            was_alive: false,
            was_handed_over: false,
            was_probed: false,
        }
    }

    /// Records that the holder of the copy was asked to continue the run; it is asked once in each
    /// silence.
    pub(super) fn record_handover(&mut self) {
        self.was_handed_over = true;
    }

    /// Missed probes in a row after which the stream is handed over.
    fn max_misses(&self) -> u32 {
        // The missing events already speak against the replica.
        if self.was_alive { MAX_MISSES } else { 1 }
    }
}

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// Completes when the attempt abandons its replica, which has sent no event yet, or asks another
    /// one to start the stream.
    pub(super) async fn abandoned_before_first_event(
        &self,
        target: &Target,
        watch: &mut StartWatch,
    ) -> Leave {
        loop {
            sleep(FIRST_EVENT_PROBE_INTERVAL).await;
            let waited = watch.started_at.elapsed();
            if waited >= LATE_TIME && !std::mem::replace(&mut watch.is_reported, true) {
                self.report_late(target, waited).await;
            }
            let mut leave = self.probe_starting(target, &mut watch.probes).await;
            if leave.is_none() && watch.probes.misses > 0 {
                // One missed probe says little, so it is repeated at once.
                leave = self.probe_starting(target, &mut watch.probes).await;
            }
            if let Some(leave) = leave {
                return leave;
            }
        }
    }

    /// Completes when the replica of a stream that another one has, too, has ended its silence.
    pub(super) async fn silence_ended(&self, target: &Target, watch: &mut StartWatch) -> Silence {
        loop {
            sleep(OVERLAP_PROBE_INTERVAL).await;
            match probe::probe(self.node, &target.replica).await {
                Finding::Unasked => {}
                Finding::Replaced => return Silence::Lost,
                Finding::Alive(_) => {
                    watch.probes = Probes::default();
                    return Silence::Answered;
                }
                Finding::Unresponsive => {
                    watch.probes.record_miss(&self.node.pulse);
                    if watch.probes.unresponsive_time(&self.node.pulse) >= GONE_TIME {
                        return Silence::Lost;
                    }
                }
            }
        }
    }

    /// Completes when the attempt abandons its replica, which has sent events, or hands its stream
    /// over: the replica seems dead or has sent none for too long.
    pub(super) async fn abandoned_between_events(
        &self,
        target: &Target,
        watch: &mut Watch,
    ) -> Leave {
        loop {
            if std::mem::replace(&mut watch.was_probed, true) {
                sleep(STALL_PROBE_INTERVAL).await;
            } else {
                sleep_until(self.stall.probe_at()).await;
            }
            match probe::probe(self.node, &target.replica).await {
                Finding::Unasked => {}
                Finding::Replaced => return Leave::Gone("replaced"),
                Finding::Alive(_) => {
                    watch.probes = Probes::default();
                    watch.was_alive = true;
                    if self.can_hand_over(target, watch) {
                        sleep_until(self.stall.failover_at()).await;
                        return Leave::Silent;
                    }
                }
                Finding::Unresponsive => {
                    watch.probes.record_miss(&self.node.pulse);
                    if let Some(leave) = self.leave_unresponsive(target, watch) {
                        return leave;
                    }
                }
            }
        }
    }

    /// Whether the attempt leaves a replica that has missed a probe; `None` if it stays.
    fn leave_unresponsive(&self, target: &Target, watch: &Watch) -> Option<Leave> {
        if self.is_gone(target, watch.probes.unresponsive_time(&self.node.pulse)) {
            return Some(Leave::Gone("gone"));
        }
        let is_long = watch.probes.misses >= MAX_MISSES
            && self.node.pulse.running_time(watch.idle) >= UNRESPONSIVE_TIME;
        if is_long && self.can_fail_over(target) {
            return Some(Leave::Unresponsive);
        }
        let is_due = watch.probes.misses >= watch.max_misses() && self.can_hand_over(target, watch);
        is_due.then_some(Leave::Silent)
    }

    /// Whether a replica without a report for `time` is gone for good.
    fn is_gone(&self, target: &Target, time: Duration) -> bool {
        time >= GONE_TIME && !self.node.catalog().is_listed(&target.replica)
    }

    /// Logs that the first event is late, with the load of the replica.
    async fn report_late(&self, target: &Target, waited: Duration) {
        let report = probe::request_report(self.node, &target.replica).await;
        let has_report = report.is_some();
        let report = report.unwrap_or_default();
        emit!(
            Event::FirstEventLate,
            request = self.job.call.label(),
            replica = target.replica.id,
            waited_ms = waited.as_millis(),
            has_report = has_report,
            waiting = report.waiting,
            running = report.running,
            prefilling = report.prefilling,
            events_made =
                self.job.call.id.as_deref().and_then(|id| report.events_of(id)).unwrap_or(0),
            can_fail_over = self.can_fail_over(target)
        );
    }

    /// Probes the replica once before its first event; returns whether the attempt leaves it, `None`
    /// if it stays.
    async fn probe_starting(&self, target: &Target, probes: &mut Probes) -> Option<Leave> {
        match probe::probe(self.node, &target.replica).await {
            Finding::Unasked => None,
            Finding::Replaced => Some(Leave::Gone("replaced")),
            Finding::Alive(report) => {
                let loss = self.loss(&report);
                let lost = if loss.is_some() { probes.lost + 1 } else { 0 };
                *probes = Probes { lost, ..Probes::default() };
                loss.filter(|_| lost >= MAX_LOST_REPORTS && self.can_fail_over(target))
            }
            Finding::Unresponsive => {
                probes.record_miss(&self.node.pulse);
                let time = probes.unresponsive_time(&self.node.pulse);
                if self.is_gone(target, time) {
                    return Some(Leave::Gone("gone"));
                }
                if time >= UNRESPONSIVE_TIME {
                    return self.can_fail_over(target).then_some(Leave::Unresponsive);
                }
                // A stream that has begun has no other place than its copy, which it has used.
                let is_due = probes.misses >= MAX_MISSES && !self.has_forwarded;
                (is_due && self.can_fail_over(target)).then_some(Leave::Silent)
            }
        }
    }

    /// What a report of the live replica shows if the first event will not come: the replica has made
    /// events of this run, and none has arrived; or it knows nothing of the run, which is neither
    /// queued nor in prefill nor running.
    fn loss(&self, report: &Report) -> Option<Leave> {
        match report.events_of(self.job.call.id.as_deref()?) {
            Some(events) => (events > 0).then_some(Leave::Gone("unheard")),
            None => (report.waiting == 0 && report.prefilling == 0).then_some(Leave::Lost),
        }
    }

    /// Whether the stream can go on, or start again, at another replica: it may be repeated, sends
    /// and retries are left, and another replica may take it.
    fn can_fail_over(&self, target: &Target) -> bool {
        self.job.route.semantics.may_repeat()
            && self.counted_sends() < self.job.route.max_attempts
            && self.has_retry()
            && self.has_alternative(target)
    }

    /// Whether the holder of the copy may continue the stream, and a send is left beyond the one to
    /// it, for the case that a replica is lost.
    fn can_hand_over(&self, target: &Target, watch: &Watch) -> bool {
        self.job.route.semantics.may_repeat()
            && !watch.was_handed_over
            && self.counted_sends() + 1 < self.job.route.max_attempts
            && self.has_retry()
            && self.newest_copy().is_some_and(|copy| {
                copy.replica.id != target.replica.id && self.usable_holder(&copy).is_some()
            })
    }

    /// Whether another replica may take the stream. One that has begun waits for a replica, and asks
    /// those again that have refused it.
    fn has_alternative(&self, target: &Target) -> bool {
        let rule = self.node.rule(&self.job.service, self.job.cohort);
        let (catalog, now) = (self.node.catalog(), Instant::now());
        let is_holder = |replica: &Replica| {
            self.copy.as_ref().is_some_and(|copy| copy.replica.id == replica.id)
        };
        catalog.usable(&self.job.service, now).any(|(key, entry)| {
            let replica = &entry.replica;
            let is_excluded = !self.has_forwarded
                && self.trace.excluded.contains(&replica.id)
                && !is_holder(replica);
            key != target.key && rule.allows(replica) && !is_excluded
        })
    }
}
