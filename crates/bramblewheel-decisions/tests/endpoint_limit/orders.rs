//! All orders of five events: a statement, its end, a restart of the daemon beside the endpoint, a new incarnation of the
//! endpoint, and a late answer.

use bramblewheel_decisions::endpoint_limit::{EndpointLimit, StatedLimit};
use bramblewheel_types::{RateLimit, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Statement,
    End,
    DaemonRestart,
    NewIncarnation,
    LateAnswer,
}

const EVENTS: [Event; 5] = [
    Event::Statement,
    Event::End,
    Event::DaemonRestart,
    Event::NewIncarnation,
    Event::LateAnswer,
];

/// The endpoint, the daemon beside it and one sender.
#[derive(Default)]
struct Run {
    now: u64,
    /// What the endpoint states now.
    stated: Option<RateLimit>,
    beside: EndpointLimit,
    sender: StatedLimit,
}

impl Run {
    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn apply(&mut self, event: Event) {
        self.now += 100;
        match event {
            Event::Statement => {
                self.stated = Some("5".parse().expect("a limit"));
                self.exchange();
            }
            Event::End => {
                self.stated = None;
                self.exchange();
            }
            Event::DaemonRestart => self.beside = EndpointLimit::default(),
            Event::NewIncarnation => {
                self.stated = None;
                self.beside = EndpointLimit::default();
                self.sender = StatedLimit::default();
            }
            // The answer to a request from before all other events, without a limit.
            Event::LateAnswer => self.answer(Timestamp::ZERO, None),
        }
    }

    /// The sender hands a request over, the endpoint gets it and answers.
    fn exchange(&mut self) {
        self.hand_over();
        let sent_at = self.time();
        self.now += 10;
        self.answer(sent_at, self.stated);
    }

    fn hand_over(&mut self) {
        if let Some(known) = self.sender.in_force(self.time()) {
            self.beside.adopt(self.time(), known);
        }
    }

    fn answer(&mut self, sent_at: Timestamp, stated: Option<RateLimit>) {
        let now = self.time();
        self.beside.record_answer(now, sent_at, stated);
        self.sender.record_answer(now, sent_at, stated);
    }
}

fn orders(left: &[Event]) -> Vec<Vec<Event>> {
    if left.is_empty() {
        return vec![Vec::new()];
    }
    let begin_with = |first: &Event| {
        let rest: Vec<Event> = left
            .iter()
            .copied()
            .filter(|event| event != first)
            .collect();
        let mut all = orders(&rest);
        all.iter_mut().for_each(|order| order.insert(0, *first));
        all
    };
    left.iter().flat_map(begin_with).collect()
}

#[test]
fn limit_is_in_force_exactly_while_it_is_stated_in_all_orders_of_events() {
    let all = orders(&EVENTS);
    assert_eq!(all.len(), 120);
    for order in all {
        let mut run = Run::default();
        for (index, event) in order.iter().enumerate() {
            run.apply(*event);
            run.hand_over();
            let is_in_force = run.beside.is_in_force();
            assert_eq!(is_in_force, run.stated.is_some(), "{:?}", &order[..=index]);
        }
    }
}
