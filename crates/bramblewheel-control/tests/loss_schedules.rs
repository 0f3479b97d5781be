//! A group recovers from every drawn schedule of lost disks and other faults.

mod support;

use support::loss_schedule::Class;
use support::loss_schedule::search::search;

/// Schedules of one test in a normal run.
const SCHEDULES: u64 = 250;

#[test]
fn group_is_whole_after_single_losses_first_part() {
    search(Class::SingleLosses, 1, SCHEDULES);
}

#[test]
fn group_is_whole_after_single_losses_second_part() {
    search(Class::SingleLosses, 2, SCHEDULES);
}

#[test]
fn group_is_whole_after_repeated_losses_first_part() {
    search(Class::RepeatedLosses, 3, SCHEDULES);
}

#[test]
fn group_is_whole_after_repeated_losses_second_part() {
    search(Class::RepeatedLosses, 4, SCHEDULES);
}

#[test]
fn group_is_whole_after_losses_with_replicas_at_other_addresses_first_part() {
    search(Class::OtherAddresses, 5, SCHEDULES);
}

#[test]
fn group_is_whole_after_losses_with_replicas_at_other_addresses_second_part() {
    search(Class::OtherAddresses, 6, SCHEDULES);
}

#[test]
fn group_is_whole_after_bursts_of_faults_first_part() {
    search(Class::Bursts, 7, SCHEDULES);
}

#[test]
fn group_is_whole_after_bursts_of_faults_second_part() {
    search(Class::Bursts, 8, SCHEDULES);
}
