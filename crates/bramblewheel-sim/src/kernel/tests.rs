//! Tests of the kernel with processes that ping each other.

use super::*;
use bramblewheel_types::Timestamp;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// Sends a ping to its peer at each tick and records the messages it receives.
struct Echo {
    peer: ProcessId,
    ticks: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum EchoRecord {
    Tick(Timestamp),
    Ping(u64),
    Pong(u64),
    Refused(u64),
}

#[derive(Clone, Debug)]
enum Packet {
    Ping(u64),
    Pong(u64),
}

impl Actor for Echo {
    type Message = Packet;
    type Timer = ();
    type Record = EchoRecord;

    fn start(&mut self, context: &mut Context<'_, Self>, _cause: StartCause) {
        context.set_timer(TICK, ());
    }

    fn stop(&mut self, _cause: StopCause) {
        self.ticks = 0;
    }

    fn receive(&mut self, context: &mut Context<'_, Self>, from: ProcessId, message: Packet) {
        match message {
            Packet::Ping(number) => {
                context.record(EchoRecord::Ping(number));
                context.send(from, Packet::Pong(number));
            }
            Packet::Pong(number) => context.record(EchoRecord::Pong(number)),
        }
    }

    fn timer(&mut self, context: &mut Context<'_, Self>, (): ()) {
        self.ticks += 1;
        context.record(EchoRecord::Tick(context.now()));
        context.send(self.peer, Packet::Ping(self.ticks));
        context.set_timer(TICK, ());
    }

    fn undelivered(&mut self, context: &mut Context<'_, Self>, _to: ProcessId, message: Packet) {
        if let Packet::Ping(number) = message {
            context.record(EchoRecord::Refused(number));
        }
    }
}

const FIRST: ProcessId = ProcessId(0);
const SECOND: ProcessId = ProcessId(1);

fn delay(millis: u64) -> Delay {
    Delay {
        shortest: Duration::from_millis(millis),
        longest: Duration::from_millis(millis + 1),
    }
}

/// Two processes, each in a zone of its own, the second with a clock that runs twice as fast.
fn pair(seed: u64) -> Simulation<Echo> {
    let streams = Streams::new(seed);
    let network = Network::new(2, delay(1), delay(3), streams.stream(Purpose::Network));
    let mut simulation = Simulation::new(streams, network);
    for (peer, skew_ppm) in [(SECOND, 0), (FIRST, 1_000_000)] {
        let zone = ZoneId(1 - peer.0 as u16);
        let clock = Clock {
            origin: Duration::from_secs(5),
            skew_ppm,
        };
        let process = simulation.add(Echo { peer, ticks: 0 }, zone, clock);
        simulation.start(process);
    }
    simulation
}

fn count(simulation: &Simulation<Echo>, of: ProcessId, matches: fn(&EchoRecord) -> bool) -> usize {
    let entries = simulation.history().entries().iter();
    let matching = entries.filter(|entry| match &entry.fact {
        Fact::Domain(record) => entry.process == Some(of) && matches(record),
        _ => false,
    });
    matching.count()
}

fn is_tick(record: &EchoRecord) -> bool {
    matches!(record, EchoRecord::Tick(_))
}

fn is_ping(record: &EchoRecord) -> bool {
    matches!(record, EchoRecord::Ping(_))
}

fn is_pong(record: &EchoRecord) -> bool {
    matches!(record, EchoRecord::Pong(_))
}

fn is_refused(record: &EchoRecord) -> bool {
    matches!(record, EchoRecord::Refused(_))
}

#[test]
fn same_seed_gives_same_digest() {
    let digest = |seed| {
        let mut simulation = pair(seed);
        let disorder = Disorder {
            loss: 0.1,
            duplicate: 0.1,
            reorder: 0.1,
        };
        simulation.network_mut().set_disorder(disorder);
        simulation.run_until(Timestamp::from_millis(2_000));
        simulation.digest()
    };
    assert_eq!(digest(7), digest(7));
    assert_ne!(digest(7), digest(8));
}

#[test]
fn clock_skew_changes_the_timer_rate() {
    let mut simulation = pair(1);
    simulation.run_until(Timestamp::from_millis(1_000));
    assert_eq!(count(&simulation, FIRST, is_tick), 100);
    assert_eq!(count(&simulation, SECOND, is_tick), 200);
}

#[test]
fn one_way_cut_stops_messages_in_one_direction_only() {
    let mut simulation = pair(2);
    simulation.network_mut().cut_link(FIRST, SECOND);
    simulation.run_until(Timestamp::from_millis(1_000));
    assert_eq!(count(&simulation, SECOND, is_ping), 0);
    assert!(count(&simulation, FIRST, is_ping) > 190);
    assert_eq!(
        count(&simulation, SECOND, is_pong),
        0,
        "the pongs to the second process are cut"
    );
}

#[test]
fn messages_pass_again_after_a_zone_cut_is_healed() {
    let mut simulation = pair(3);
    simulation.network_mut().cut_zone(ZoneId(0), ZoneId(1));
    simulation.run_until(Timestamp::from_millis(500));
    assert_eq!(count(&simulation, SECOND, is_ping), 0);
    simulation.network_mut().heal();
    simulation.run_until(Timestamp::from_millis(1_000));
    assert!(count(&simulation, SECOND, is_ping) > 40);
}

#[test]
fn thawed_process_receives_messages_kept_while_frozen() {
    let mut simulation = pair(4);
    simulation.freeze(SECOND);
    simulation.run_until(Timestamp::from_millis(500));
    assert_eq!(count(&simulation, SECOND, |_| true), 0);
    simulation.thaw(SECOND);
    simulation.run_until(Timestamp::from_millis(500));
    assert!(count(&simulation, SECOND, is_ping) > 45);
}

#[test]
fn stopped_process_refuses_messages_and_loses_its_timers() {
    let mut simulation = pair(5);
    simulation.network_mut().set_reports_undelivered(true);
    simulation.stop(SECOND, StopCause::Killed);
    simulation.run_until(Timestamp::from_millis(500));
    assert_eq!(count(&simulation, SECOND, |_| true), 0);
    assert!(count(&simulation, FIRST, is_refused) > 45);
    simulation.start(SECOND);
    simulation.run_until(Timestamp::from_millis(1_000));
    let ticks = count(&simulation, SECOND, is_tick);
    assert_eq!(ticks, 100, "only timers of the new incarnation are due");
}
