//! What a daemon sets up once: HTTP clients, stall detection, the recorder of counters.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use winch_generation::stall;

use crate::{prelude::*, settings::Stall};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

pub(super) fn client(idle: usize) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(idle)
        .retry(reqwest::retry::never())
        .build()
        .expect("a client without TLS always builds")
}

pub(super) fn stall_options(stall: Stall) -> stall::Options {
    const FIXED_SILENCE: Duration = Duration::from_secs(1);
    let mode = match stall {
        Stall::Fixed => stall::Mode::Fixed { idle_timeout: FIXED_SILENCE },
        Stall::Adaptive => stall::Mode::Adaptive,
        Stall::Hedged => stall::Mode::Hedged,
    };
    stall::Options { mode, ..stall::Options::default() }
}

/// The recorder of this process; daemons that share a process, as in tests, share it.
pub(super) fn recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || PrometheusBuilder::new().install_recorder();
    RECORDER.get_or_init(|| install().expect("nobody else installs a recorder")).clone()
}
