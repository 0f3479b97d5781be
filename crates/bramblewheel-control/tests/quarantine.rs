//! Which contents are kept from endpoints, by what daemons report of their ends.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use bramblewheel_control::state::{Command, ControlState, LoggedCommand};
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::LogPosition;
use bramblewheel_protocol::routing::{ContentReport, QUARANTINE_TIME};
use bramblewheel_types::EndpointId;

const FATAL: ContentDigest = ContentDigest(1);
const BESIDE: ContentDigest = ContentDigest(2);
/// Ends after which a content is kept from endpoints.
const ENDS: u32 = 3;

struct Group {
    state: ControlState,
    index: u64,
    now: u64,
}

impl Group {
    fn new() -> Self {
        let position = LogPosition { index: 1, term: 1 };
        Self {
            state: ControlState::without_bundle(7, position),
            index: 1,
            now: 1_000_000,
        }
    }

    fn apply(&mut self, reports: Vec<ContentReport>) -> bool {
        self.index += 1;
        let command = LoggedCommand {
            proposed_at_unix_millis: self.now,
            command: Command::Contents(reports),
        };
        let position = LogPosition {
            index: self.index,
            term: 1,
        };
        let applied = self.state.apply(position, &command.encode());
        applied.expect("a command").changes.routing
    }

    /// Returns whether daemons are told something new.
    fn ended(&mut self, number: u32, contents: &[ContentDigest]) -> bool {
        self.apply(vec![end(number, contents)])
    }

    fn ended_well(&mut self, content: ContentDigest) -> bool {
        let contents = vec![content];
        self.apply(vec![ContentReport::Succeeded { contents }])
    }

    fn quarantined(&self) -> Vec<ContentDigest> {
        let list = self.state.quarantine().list();
        let kept = list.contents.iter().filter(|known| known.is_quarantined);
        kept.map(|known| known.content).collect()
    }

    fn watched(&self) -> Vec<ContentDigest> {
        let list = self.state.quarantine().list();
        list.contents.iter().map(|known| known.content).collect()
    }

    fn pass(&mut self, millis: u64) {
        self.now += millis;
        self.apply(Vec::new());
    }
}

fn end(number: u32, contents: &[ContentDigest]) -> ContentReport {
    ContentReport::EndpointCrashed {
        endpoint: EndpointId::new(&format!("e-{number}")).expect("a name"),
        contents: contents.to_vec(),
    }
}

#[test]
fn a_content_is_told_of_after_two_ends_and_kept_from_endpoints_after_three() {
    let mut group = Group::new();
    assert!(!group.ended(1, &[FATAL]));
    assert!(group.ended(2, &[FATAL]));
    assert_eq!(
        (group.watched(), group.quarantined()),
        (vec![FATAL], vec![])
    );
    assert!(group.ended(3, &[FATAL]));
    assert_eq!(group.quarantined(), [FATAL]);
}

#[test]
fn an_end_that_is_reported_again_counts_once() {
    let mut group = Group::new();
    for _ in 0..10 {
        group.ended(1, &[FATAL]);
    }
    assert_eq!(group.watched(), []);
}

#[test]
fn what_ended_well_is_not_suspect_any_more() {
    let mut group = Group::new();
    for number in 0..ENDS {
        group.ended(number, &[FATAL]);
    }
    assert!(group.ended_well(FATAL));
    assert_eq!(group.watched(), []);
    group.ended(7, &[FATAL]);
    assert_eq!(group.watched(), [], "counted from the beginning");
}

#[test]
fn ends_that_a_content_in_quarantine_explains_are_blamed_on_nothing_else() {
    let mut group = Group::new();
    group.ended(1, &[FATAL, BESIDE]);
    group.ended(2, &[FATAL, BESIDE]);
    group.ended(3, &[FATAL]);
    assert_eq!(group.watched(), [FATAL]);
    for number in 4..8 {
        group.ended(number, &[FATAL, BESIDE]);
    }
    assert_eq!(group.watched(), [FATAL]);
}

#[test]
fn of_two_that_reached_it_together_the_one_with_fewer_ends_is_released() {
    let mut group = Group::new();
    for number in 0..ENDS {
        group.ended(number, &[FATAL, BESIDE]);
    }
    assert_eq!(group.quarantined(), [FATAL, BESIDE]);
    group.ended(9, &[FATAL]);
    assert_eq!(group.watched(), [FATAL]);
}

#[test]
fn a_content_leaves_the_quarantine_in_time_and_one_end_brings_it_back() {
    let mut group = Group::new();
    for number in 0..ENDS {
        group.ended(number, &[FATAL]);
    }
    let time = u64::try_from(QUARANTINE_TIME.as_millis()).expect("some minutes");
    group.pass(time - 1);
    assert_eq!(group.quarantined(), [FATAL]);
    group.pass(1);
    assert_eq!(
        (group.watched(), group.quarantined()),
        (vec![FATAL], vec![])
    );
    group.ended(9, &[FATAL]);
    assert_eq!(group.quarantined(), [FATAL]);
    group.pass(time);
    group.pass(time);
    assert_eq!(group.watched(), []);
    assert_eq!(group.state.quarantine().due_unix_millis(), None);
}

#[test]
fn a_replica_that_starts_from_a_snapshot_keeps_it() {
    let mut group = Group::new();
    for number in 0..ENDS {
        group.ended(number, &[FATAL, BESIDE]);
    }
    let restored = ControlState::decode(&group.state.encode()).expect("a state");
    assert_eq!(restored.quarantine(), group.state.quarantine());
    assert_eq!(restored, group.state);
}

/// Thousands of suspects: memory and what daemons are told stay bounded, and the cause is kept.
#[test]
fn suspects_are_bounded_and_the_cause_is_kept() {
    let mut group = Group::new();
    for number in 0..200_u32 {
        let first = u64::from(number) * 200 + 10;
        let mut contents: Vec<_> = (first..first + 200).map(ContentDigest).collect();
        contents.push(FATAL);
        group.ended(number, &contents[if number < ENDS { 0 } else { 1 }..]);
    }
    assert_eq!(group.quarantined(), [FATAL]);
    let mut group = Group::new();
    for number in 0..200_u32 {
        let first = u64::from(number) * 200 + 10;
        let contents: Vec<_> = (first..first + 200).map(ContentDigest).collect();
        group.ended(number, &contents);
    }
    assert!(group.state.encode().len() < 1_000_000, "8,192 suspects");
}

/// In any order, with reports sent again and other ends between: what ends endpoints is kept from them after
/// its third end, what ends well now and then is not.
#[test]
fn whatever_the_order_the_cause_is_found_and_what_ends_well_is_not_blamed() {
    arbtest(|drawn: &mut Unstructured<'_>| {
        let mut group = Group::new();
        let mut ends = 0;
        let good = ContentDigest(3);
        for number in 0..drawn.int_in_range(3..=40_u32)? {
            let contents = draw_contents(drawn, number)?;
            for _ in 0..drawn.int_in_range(1..=2_u32)? {
                group.ended(number, &contents);
            }
            ends += u32::from(contents.contains(&FATAL));
            group.ended_well(good);
            let is_kept = group.quarantined().contains(&FATAL);
            assert_eq!(is_kept, ends >= ENDS, "after {ends} ends");
            assert!(!group.watched().contains(&good));
        }
        Ok(())
    })
    .budget_ms(2_000);
}

/// What ran at an end: the cause at some, one that is often there, and others that are there once.
fn draw_contents(drawn: &mut Unstructured<'_>, number: u32) -> Drawn<Vec<ContentDigest>> {
    let mut contents = vec![ContentDigest(3), ContentDigest(100 + u64::from(number))];
    if drawn.ratio(2, 3)? {
        contents.push(FATAL);
    }
    Ok(contents)
}
