//! Cuts of one daemon's paths to the replicas, beside cuts of other daemons' paths, late replicas and
//! restarts; they overlap.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{
    common::{Mode, Proxy, Step},
    fault,
    fleet::Fleet,
    hop::SECOND_DAEMONS,
    series::Series,
    upgrade,
};

/// Number of moves.
const MOVES: usize = 22;
/// Time for which paths of the first daemon refuse connections.
const REFUSAL_MS: Range<u64> = 1_000..2_800;
/// Time for which paths hold bytes up; mostly longer than an order may begin after its end.
const HOLD_MS: Range<u64> = 700..2_200;
/// Time for which replicas follow a step.
const STEP_MS: Range<u64> = 200..900;
/// Time after which a late replica replies; mostly longer than its daemon waits.
const LATE_MS: Range<u64> = 500..1_500;
/// Restarts of second daemons in a series.
const MAX_RESTARTS: usize = 2;
/// Time until a daemon that was killed starts again.
const PAUSE_MS: Range<u64> = 0..400;
/// Time for which a replica is silent; shorter than an order may begin after its end.
const SILENCE_MS: Range<u64> = 100..800;

/// Moves of the series, and when what they have begun ends.
pub(crate) struct Moves {
    fleet: Arc<Fleet>,
    /// The first daemon's paths to the replicas.
    paths: Vec<Proxy>,
    /// Indexes of the paths that refuse connections.
    stopped: Vec<usize>,
    first_cut_until: Option<Instant>,
    second_cut_until: Option<Instant>,
    steps_until: Option<Instant>,
    restarts: JoinSet<Vec<String>>,
}

impl Moves {
    pub(crate) fn new(fleet: Arc<Fleet>, paths: Vec<Proxy>) -> Self {
        Self {
            fleet,
            paths,
            stopped: Vec::new(),
            first_cut_until: None,
            second_cut_until: None,
            steps_until: None,
            restarts: JoinSet::new(),
        }
    }

    /// Makes random moves, which overlap; returns the violated guarantees.
    pub(crate) async fn run(mut self, rng: &mut SmallRng) -> Vec<String> {
        self.stop_paths((0..self.paths.len()).collect(), rng).await;
        Series::rest(rng).await;
        self.hold_second(rng);
        for _ in 0..MOVES {
            Series::rest(rng).await;
            self.heal(Instant::now()).await;
            self.inject(rng).await;
        }
        while let Some(last) = self.ends().into_iter().flatten().max() {
            sleep_until(last).await;
            self.heal(last).await;
        }
        self.restarts.join_all().await.concat()
    }

    fn ends(&self) -> [Option<Instant>; 3] {
        [self.first_cut_until, self.second_cut_until, self.steps_until]
    }

    /// Ends what ends until `now`.
    async fn heal(&mut self, now: Instant) {
        if self.first_cut_until.take_if(|until| *until <= now).is_some() {
            for index in self.stopped.drain(..) {
                self.paths[index].start_again().await;
            }
            self.paths.iter().for_each(|path| path.set_mode(Mode::Open));
        }
        if self.second_cut_until.take_if(|until| *until <= now).is_some() {
            self.fleet.clear_faults();
        }
        if self.steps_until.take_if(|until| *until <= now).is_some() {
            self.fleet.replicas.iter().for_each(|other| other.replica.clear_steps());
        }
    }

    /// Begins one random move.
    async fn inject(&mut self, rng: &mut SmallRng) {
        match rng.random_range(0..12) {
            0..4 if self.first_cut_until.is_none() => self.cut_first(rng).await,
            4..6 if self.second_cut_until.is_none() => self.hold_second(rng),
            6..9 if self.steps_until.is_none() => self.set_steps(rng),
            9 => self.silence(rng),
            10..12 if self.restarts.len() < MAX_RESTARTS => self.restart(rng),
            _ => {}
        }
    }

    /// Cuts paths of the first daemon, all or some: they refuse connections or hold bytes up.
    async fn cut_first(&mut self, rng: &mut SmallRng) {
        let share = *[0.5, 1.0, 1.0].choose(rng).expect("not empty");
        let cut: Vec<_> = (0..self.paths.len()).filter(|_| rng.random_bool(share)).collect();
        if rng.random_bool(0.8) {
            self.stop_paths(cut, rng).await;
        } else {
            cut.into_iter().for_each(|index| self.paths[index].set_mode(Mode::Hold));
            self.first_cut_until = Some(end(HOLD_MS, rng));
        }
    }

    async fn stop_paths(&mut self, cut: Vec<usize>, rng: &mut SmallRng) {
        for index in &cut {
            self.paths[*index].stop().await;
        }
        self.stopped = cut;
        self.first_cut_until = Some(end(REFUSAL_MS, rng));
    }

    /// Holds up the bytes on paths of the second daemons, all or some.
    fn hold_second(&mut self, rng: &mut SmallRng) {
        let share = *[0.3, 0.6].choose(rng).expect("not empty");
        for other in self.fleet.replicas.iter().filter(|_| rng.random_bool(share)) {
            other.proxy.set_mode(Mode::Hold);
        }
        self.second_cut_until = Some(end(HOLD_MS, rng));
    }

    /// Lets replicas, some or all, be late, hang, refuse or close.
    fn set_steps(&mut self, rng: &mut SmallRng) {
        let share = *[0.4, 0.8].choose(rng).expect("not empty");
        let time = Duration::from_millis(rng.random_range(LATE_MS));
        let steps = [
            Step::ReplyAfter(time),
            Step::Hang,
            Step::CloseWithoutReply,
            Step::Refuse,
            Step::RefuseAfter(time),
            Step::RawReply("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
        ];
        let desks = self.fleet.replicas.iter().map(|other| &other.replica);
        for replica in desks.filter(|replica| replica.service == "desk") {
            if rng.random_bool(share) {
                replica.set_default_step(steps.choose(rng).expect("not empty").clone());
            }
        }
        self.steps_until = Some(end(STEP_MS, rng));
    }

    /// Silences random replicas for a while.
    fn silence(&self, rng: &mut SmallRng) {
        for other in &self.fleet.replicas {
            if rng.random_bool(0.5) {
                other.replica.pause(Duration::from_millis(rng.random_range(SILENCE_MS)));
            }
        }
    }

    /// Stops or kills a second daemon, which may have orders, and starts it again.
    fn restart(&mut self, rng: &mut SmallRng) {
        let (fleet, number) = (self.fleet.clone(), rng.random_range(0..SECOND_DAEMONS));
        let (mut rng, is_killed) = (SmallRng::seed_from_u64(rng.random()), rng.random_bool(0.5));
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        self.restarts.spawn(async move {
            if is_killed {
                fault::kill(&fleet, number, pause).await;
                return Vec::new();
            }
            let program = fleet.former.clone();
            upgrade::roll(&fleet, number..=number, &program, &mut rng).await
        });
    }
}

/// When what begins now ends.
fn end(time_ms: Range<u64>, rng: &mut SmallRng) -> Instant {
    Instant::now() + Duration::from_millis(rng.random_range(time_ms))
}
