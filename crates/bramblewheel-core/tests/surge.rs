//! Load of three times the capacity: the most important calls are shed last.

mod support;

use bramblewheel_core::context::{CallContext, CallOrigin};
use bramblewheel_core::event::Event;
use bramblewheel_types::{CallId, Criticality, Outcome, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;
use support::network::{Network, Plan};
use support::{admission, root_call, succeeded};

/// Two endpoints with ten slots and 10 ms per call give a capacity of 2,000 calls per second.
const SERVICE_TIME: Duration = Duration::from_millis(10);
const SLOTS: u32 = 10;
const ENDPOINTS: usize = 2;

fn call(id: u64) -> (Event, Criticality) {
    let class = Criticality::ALL[(id % 4) as usize];
    let Event::OutboundCall { call, mut request } = root_call(id, "a", "/", None) else {
        unreachable!("root_call makes outbound calls");
    };
    request.origin = CallOrigin::Root {
        request: RequestId(u128::from(id) * 0x9E37_79B9_7F4A_7C15),
        resend: 0,
        caller: "caller".to_owned(),
        criticality: Some(class),
        in_session: id % 8 < 4,
    };
    request.timeout = Some(Duration::from_millis(200));
    (Event::OutboundCall { call, request }, class)
}

/// Share of calls completed, by second and class.
fn run(rates: &[u64]) -> Vec<BTreeMap<Criticality, f64>> {
    let behaviour = |_: &CallContext| Plan {
        sub_calls: Vec::new(),
        end: succeeded(),
        takes: SERVICE_TIME,
        loses_answer: false,
    };
    let mut network = Network::new(&["a"], ENDPOINTS, 3, admission(50, SLOTS), behaviour);
    let mut sent = Vec::new();
    for (second, rate) in rates.iter().enumerate() {
        for index in 0..*rate {
            let id = sent.len() as u64;
            let micros = second as u64 * 1_000_000 + index * 1_000_000 / rate;
            let (event, class) = call(id);
            network.send(Duration::from_micros(micros), 0, event);
            sent.push((second, class));
        }
    }
    network.run();
    let mut shares = vec![BTreeMap::new(); rates.len()];
    for (id, (second, class)) in sent.iter().enumerate() {
        let outcome = network.counts.answers[&CallId(id as u64)];
        let share: &mut f64 = shares[*second].entry(*class).or_default();
        *share += f64::from(outcome == Outcome::Completed) * 4.0 / rates[*second] as f64;
    }
    shares
}

#[test]
fn most_important_calls_complete_in_a_surge_and_all_classes_recover_after_it() {
    let shares = run(&[1_000, 1_000, 6_000, 6_000, 6_000, 1_000, 1_000, 1_000]);
    for (second, share) in shares.iter().enumerate() {
        eprintln!("{second}: {share:?}");
    }
    for during in &shares[2..5] {
        assert!(during[&Criticality::Critical] > 0.97, "{during:?}");
        assert!(during[&Criticality::Sheddable] < 0.2, "{during:?}");
        let total: f64 = during.values().sum::<f64>() / 4.0;
        assert!(
            total > 0.9 / 3.0,
            "completed share of the load is {total}, less than nine tenths of the capacity"
        );
    }
    for after in &shares[6..] {
        assert!(after.values().all(|share| *share > 0.95), "{after:?}");
    }
}
