//! Planned changes that reach each daemon at a different time: a new bundle, a new session key.

use super::{Step, World};
use crate::kernel::ProcessId;
use crate::requests::faults::FaultRecord;
use crate::requests::layer::Instruction;
use bramblewheel_bundle::Bundle;
use bramblewheel_types::BundleVersion;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// Number of the key that signs sessions after a rotation.
const NEXT_SESSION_KEY: u32 = 2;

impl World {
    pub(super) fn roll_out_bundle(&mut self, within: Duration) {
        let mut bundle = Bundle::clone(&self.bundle);
        bundle.version = BundleVersion(bundle.version.0 + 1);
        for service in bundle.services.values_mut() {
            service.admission.queue_length = service.admission.queue_length.div_ceil(2);
        }
        self.bundle = Arc::new(bundle);
        for process in self.hosts() {
            let wait = within.mul_f64(self.random.random_range(0.0..1.0));
            self.after(wait, Step::InstallBundle(process));
        }
    }

    pub(super) fn install_bundle(&mut self, process: ProcessId) {
        let bundle = Arc::clone(&self.bundle);
        let version = bundle.version.0;
        self.simulation
            .host_at(process)
            .set_bundle(Arc::clone(&bundle));
        self.simulation
            .instruct(process, Instruction::Install(bundle));
        self.record(FaultRecord::Bundle { process, version });
    }

    pub(super) fn rotate_session_key(&mut self, within: Duration) {
        for process in self.hosts() {
            let wait = within.mul_f64(self.random.random_range(0.0..1.0));
            self.after(wait, Step::UseNextSessionKey(process));
        }
    }

    pub(super) fn use_next_session_key(&mut self, process: ProcessId) {
        let instruction = Instruction::SignSessionsWith(NEXT_SESSION_KEY);
        self.simulation.instruct(process, instruction);
    }
}
