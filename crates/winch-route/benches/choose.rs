//! Time to choose an upstream and to sync the pool, by the number of replicas, and to queue
//! and start a call, by the number of teams.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use winch_route::{
    admission::{self, Arrival, Queue},
    candidate::Spec,
    choose::{Options, Request, choose},
    pool::{self, Pool},
    urgency::Urgency,
};

const NOW: Duration = Duration::from_secs(100);

fn specs(size: usize) -> impl Iterator<Item = Spec> {
    (0..size).map(|number| Spec {
        name: format!("u{number}").into(),
        dc: format!("dc-{}", number % 18).into(),
        runs: "v1".into(),
        slots: 16,
        leaving: false,
    })
}

fn choose_upstream(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for size in [35, 400, 1_700, 6_800] {
        let mut pool = Pool::new("entry-1", "dc-1".into(), pool::Options::default());
        pool.sync(specs(size), NOW);
        let mut random = 1_u64;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let request = Request {
                    runs: "v1",
                    prefix: random,
                    prefill_tokens: 800,
                    tried: &[],
                    move_subset: None,
                    dc: "dc-1",
                };
                choose(black_box(&pool), &request, &Options::default(), random, NOW)
            });
        });
    }
    group.finish();
}

fn sync_pool(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("sync");
    group.sample_size(20);
    for size in [35, 1_700, 6_800] {
        let mut pool = Pool::new("entry-1", "dc-1".into(), pool::Options::default());
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| pool.sync(specs(size), NOW));
        });
    }
    group.finish();
}

fn enqueue_and_start(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gate");
    for teams in [10, 100, 500] {
        let options = admission::Options { initial_rate: 1e9, ..admission::Options::default() };
        let mut queue = Queue::new(options);
        let arrival = |team: usize| Arrival {
            team: format!("team-{team}").into(),
            weight: 1,
            urgency: Urgency::Short,
            max_wait: Duration::from_secs(60),
        };
        let arrivals: Vec<Arrival> = (0..teams).map(arrival).collect();
        arrivals.iter().for_each(|arrival| {
            let _ = queue.enqueue(arrival, NOW);
        });
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % teams;
                let _ = queue.enqueue(black_box(&arrivals[next]), NOW);
                queue.start_next(NOW)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose_upstream, sync_pool, enqueue_and_start);
criterion_main!(benches);
