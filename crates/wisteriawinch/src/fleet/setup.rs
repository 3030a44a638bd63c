//! Construction of HTTP clients, stall detection options and the metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use winch_generation::stall;

use crate::{prelude::*, settings::Stall};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// HTTP client without proxies or automatic retries, which keeps at most
/// `max_idle_per_host` idle connections to a host.
pub(super) fn client(max_idle_per_host: usize) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(max_idle_per_host)
        .retry(reqwest::retry::never())
        .build()
        .expect("building a client without TLS cannot fail")
}

pub(super) fn stall_options(stall: Stall) -> stall::Options {
    const FIXED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
    let mode = match stall {
        Stall::Fixed => stall::Mode::Fixed { idle_timeout: FIXED_IDLE_TIMEOUT },
        Stall::Adaptive => stall::Mode::Adaptive,
        Stall::Hedged => stall::Mode::Hedged,
    };
    stall::Options { mode, ..stall::Options::default() }
}

/// The process's metrics recorder, shared by daemons in the same process, as in tests.
pub(super) fn recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || PrometheusBuilder::new().install_recorder();
    RECORDER.get_or_init(|| install().expect("no other code installs a recorder")).clone()
}
