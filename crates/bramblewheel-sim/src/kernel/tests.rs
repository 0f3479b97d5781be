//! Tests of the kernel with a process that counts and echoes.

use super::*;
use bramblewheel_types::Timestamp;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// Sends a ping to its peer at each tick and records what comes.
struct Echo {
    peer: ProcessId,
    ticks: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Seen {
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
    type Record = Seen;

    fn start(&mut self, context: &mut Context<'_, Self>, _cause: StartCause) {
        context.set_timer(TICK, ());
    }

    fn stop(&mut self, _cause: StopCause) {
        self.ticks = 0;
    }

    fn receive(&mut self, context: &mut Context<'_, Self>, from: ProcessId, message: Packet) {
        match message {
            Packet::Ping(number) => {
                context.record(Seen::Ping(number));
                context.send(from, Packet::Pong(number));
            }
            Packet::Pong(number) => context.record(Seen::Pong(number)),
        }
    }

    fn timer(&mut self, context: &mut Context<'_, Self>, (): ()) {
        self.ticks += 1;
        context.record(Seen::Tick(context.now()));
        context.send(self.peer, Packet::Ping(self.ticks));
        context.set_timer(TICK, ());
    }

    fn undelivered(&mut self, context: &mut Context<'_, Self>, _to: ProcessId, message: Packet) {
        if let Packet::Ping(number) = message {
            context.record(Seen::Refused(number));
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

fn count(simulation: &Simulation<Echo>, of: ProcessId, wanted: fn(&Seen) -> bool) -> usize {
    let entries = simulation.history().entries().iter();
    let matching = entries.filter(|entry| match &entry.fact {
        Fact::Domain(seen) => entry.process == Some(of) && wanted(seen),
        _ => false,
    });
    matching.count()
}

fn is_tick(seen: &Seen) -> bool {
    matches!(seen, Seen::Tick(_))
}

fn is_ping(seen: &Seen) -> bool {
    matches!(seen, Seen::Ping(_))
}

fn is_pong(seen: &Seen) -> bool {
    matches!(seen, Seen::Pong(_))
}

fn is_refused(seen: &Seen) -> bool {
    matches!(seen, Seen::Refused(_))
}

#[test]
fn same_seed_same_digest() {
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
fn clocks_run_at_their_own_rate() {
    let mut simulation = pair(1);
    simulation.run_until(Timestamp::from_millis(1_000));
    assert_eq!(count(&simulation, FIRST, is_tick), 100);
    assert_eq!(count(&simulation, SECOND, is_tick), 200);
}

#[test]
fn a_one_way_cut_stops_one_way_only() {
    let mut simulation = pair(2);
    simulation.network_mut().cut_link(FIRST, SECOND);
    simulation.run_until(Timestamp::from_millis(1_000));
    assert_eq!(count(&simulation, SECOND, is_ping), 0);
    assert!(count(&simulation, FIRST, is_ping) > 190);
    assert_eq!(count(&simulation, SECOND, is_pong), 0, "answers are cut");
}

#[test]
fn a_zone_cut_heals() {
    let mut simulation = pair(3);
    simulation.network_mut().cut_zone(ZoneId(0), ZoneId(1));
    simulation.run_until(Timestamp::from_millis(500));
    assert_eq!(count(&simulation, SECOND, is_ping), 0);
    simulation.network_mut().heal();
    simulation.run_until(Timestamp::from_millis(1_000));
    assert!(count(&simulation, SECOND, is_ping) > 40);
}

#[test]
fn a_frozen_process_gets_later_what_waited() {
    let mut simulation = pair(4);
    simulation.freeze(SECOND);
    simulation.run_until(Timestamp::from_millis(500));
    assert_eq!(count(&simulation, SECOND, |_| true), 0);
    simulation.thaw(SECOND);
    simulation.run_until(Timestamp::from_millis(500));
    assert!(count(&simulation, SECOND, is_ping) > 45);
}

#[test]
fn a_stopped_process_refuses_and_loses_its_timers() {
    let mut simulation = pair(5);
    simulation.network_mut().set_reports_undelivered(true);
    simulation.stop(SECOND, StopCause::Killed);
    simulation.run_until(Timestamp::from_millis(500));
    assert_eq!(count(&simulation, SECOND, |_| true), 0);
    assert!(count(&simulation, FIRST, is_refused) > 45);
    simulation.start(SECOND);
    simulation.run_until(Timestamp::from_millis(1_000));
    let ticks = count(&simulation, SECOND, is_tick);
    assert_eq!(ticks, 100, "one timer at a time, from the new start only");
}
