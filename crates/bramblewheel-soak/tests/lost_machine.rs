//! Tests that disks are lost one machine after the other, also when machines return later than planned.

use bramblewheel_soak::disk_losses::CATCH_UP_TIME;
use bramblewheel_soak::lost_machine::LostMachine;
use bramblewheel_soak::plan::Machine;
use std::time::Duration;
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn another_disk_is_lost_only_once_the_first_machine_has_caught_up() {
    let lost = LostMachine::default();
    let down = Duration::from_secs(7);
    let first = lost.begin(Machine::Control(0)).await;
    let start = Instant::now();
    let return_first = async {
        sleep(down).await;
        first.end();
    };
    let (_second, ()) = tokio::join!(lost.begin(Machine::Control(1)), return_first);
    assert!(start.elapsed() >= down + CATCH_UP_TIME);
}

#[tokio::test(start_paused = true)]
async fn the_same_disk_is_lost_again_at_once() {
    let lost = LostMachine::default();
    lost.begin(Machine::Control(0)).await.end();
    let start = Instant::now();
    lost.begin(Machine::Control(0)).await.end();
    assert_eq!(start.elapsed(), Duration::ZERO);
}
