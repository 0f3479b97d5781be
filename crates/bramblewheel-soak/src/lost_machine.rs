//! Keeps the losses of disks within what the control group tolerates, also when machines return later than planned: no
//! second machine loses its disk while the first one counts as lost.

use crate::disk_losses::CATCH_UP_TIME;
use crate::plan::Machine;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Instant, sleep_until};

/// A machine that lost its disk and has been started again.
#[derive(Clone, Copy, Debug)]
struct Returned {
    machine: Machine,
    at: Instant,
}

/// The machine that counts as lost with its disk, if there is one.
#[derive(Debug, Default)]
pub struct LostMachine {
    last: Mutex<Option<Returned>>,
}

/// A machine whose disk is lost and that has not been started again.
#[derive(Debug)]
pub struct Loss<'a> {
    machine: Machine,
    last: MutexGuard<'a, Option<Returned>>,
}

impl LostMachine {
    /// Waits until no other machine counts as lost. The disk of `machine` may be lost then, and no other one before
    /// [`Loss::end`].
    pub async fn begin(&self, machine: Machine) -> Loss<'_> {
        let last = self.last.lock().await;
        if let Some(returned) = *last
            && returned.machine != machine
        {
            sleep_until(returned.at + CATCH_UP_TIME).await;
        }
        Loss { machine, last }
    }
}

impl Loss<'_> {
    /// Records that the machine has been started again.
    pub fn end(mut self) {
        *self.last = Some(Returned {
            machine: self.machine,
            at: Instant::now(),
        });
    }
}
