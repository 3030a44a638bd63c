//! Faults of the engines, and the short calls beside the streams.

use rand::Rng;

use super::{Fault, Simulation};
use crate::model::{Call, Health};

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::None => {}
            Fault::Death => {
                let interrupted = self.engines[0].crash();
                self.is_faulty[0] = true;
                let attempts = self.stream_of_call.len();
                for id in interrupted.into_iter().filter(|id| *id < attempts) {
                    self.drop_attempt(self.stream_of_call[id], id);
                }
            }
            Fault::Freeze => self.freeze(0),
            Fault::Crawl => {
                self.engines[0].health = Health::Slow(20.0);
                self.is_faulty[0] = true;
            }
            Fault::Rack => (0..self.engines.len() / 4).for_each(|engine| self.freeze(engine)),
        }
    }

    pub(super) fn freeze(&mut self, engine: usize) {
        self.engines[engine].health = Health::Frozen;
        self.is_faulty[engine] = true;
    }

    /// Submits a short call, whose prefill slows decoding, to a random engine.
    pub(super) fn submit_short_call(&mut self) {
        let engine = self.rng.random_range(0..self.engines.len());
        // Above the ids of all attempts, so that the output of the call is ignored.
        let id = usize::MAX - self.rng.random_range(0..1_000_000);
        self.engines[engine].submit(Call {
            id,
            prefix: self.rng.random(),
            prefix_tokens: 1_500.0,
            suffix_tokens: 300.0,
            output_tokens: 20.0,
            priority: 3,
        });
    }
}
