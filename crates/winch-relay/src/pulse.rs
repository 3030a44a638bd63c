//! Measures by how much this process is late for its own timers.
//!
//! A process without processor time reads late what has arrived in time. Beside a gap of its own,
//! the silence of others says nothing of them.

use tokio::time::sleep_until;

use crate::{counter, prelude::*};

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);
/// Lag from which on it is logged.
const LOGGED_LAG: Duration = Duration::from_millis(100);

/// Measures for as long as the daemon runs.
pub(crate) async fn run() {
    loop {
        let due = Instant::now() + INTERVAL;
        sleep_until(due).await;
        let lag = due.elapsed();
        counter::timer_lag(lag);
        if lag >= LOGGED_LAG {
            emit!(Event::ProcessPaused, gap_ms = (INTERVAL + lag).as_millis());
        }
    }
}
