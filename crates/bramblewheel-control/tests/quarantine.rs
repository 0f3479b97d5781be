//! Quarantine of request contents, from daemons' reports of endpoint crashes.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use bramblewheel_control::state::{Command, ControlState, LoggedCommand};
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::LogPosition;
use bramblewheel_protocol::routing::{ContentReport, QUARANTINE_TIME};
use bramblewheel_types::EndpointId;

const FATAL: ContentDigest = ContentDigest(1);
const BYSTANDER: ContentDigest = ContentDigest(2);
/// Crashes after which a content is quarantined.
const CRASHES: u32 = 3;

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

    /// Returns whether there is an update for daemons.
    fn report_crash(&mut self, number: u32, contents: &[ContentDigest]) -> bool {
        self.apply(vec![crash_report(number, contents)])
    }

    fn report_success(&mut self, content: ContentDigest) -> bool {
        let contents = vec![content];
        self.apply(vec![ContentReport::Succeeded { contents }])
    }

    fn quarantined(&self) -> Vec<ContentDigest> {
        let list = self.state.quarantine().list();
        let quarantined = list
            .contents
            .iter()
            .filter(|watched| watched.is_quarantined);
        quarantined.map(|watched| watched.content).collect()
    }

    fn watched(&self) -> Vec<ContentDigest> {
        let list = self.state.quarantine().list();
        list.contents
            .iter()
            .map(|watched| watched.content)
            .collect()
    }

    fn advance_time(&mut self, millis: u64) {
        self.now += millis;
        self.apply(Vec::new());
    }
}

fn crash_report(number: u32, contents: &[ContentDigest]) -> ContentReport {
    ContentReport::EndpointCrashed {
        endpoint: EndpointId::new(&format!("e-{number}")).expect("a name"),
        contents: contents.to_vec(),
    }
}

#[test]
fn content_is_watched_after_two_crashes_and_quarantined_after_three() {
    let mut group = Group::new();
    assert!(!group.report_crash(1, &[FATAL]));
    assert!(group.report_crash(2, &[FATAL]));
    assert_eq!(
        (group.watched(), group.quarantined()),
        (vec![FATAL], vec![])
    );
    assert!(group.report_crash(3, &[FATAL]));
    assert_eq!(group.quarantined(), [FATAL]);
}

#[test]
fn repeated_report_of_a_crash_counts_once() {
    let mut group = Group::new();
    for _ in 0..10 {
        group.report_crash(1, &[FATAL]);
    }
    assert_eq!(group.watched(), []);
}

#[test]
fn success_clears_a_suspect() {
    let mut group = Group::new();
    for number in 0..CRASHES {
        group.report_crash(number, &[FATAL]);
    }
    assert!(group.report_success(FATAL));
    assert_eq!(group.watched(), []);
    group.report_crash(7, &[FATAL]);
    assert_eq!(
        group.watched(),
        [],
        "earlier crashes must not count after a success"
    );
}

#[test]
fn crashes_explained_by_a_quarantined_content_do_not_count_against_others() {
    let mut group = Group::new();
    group.report_crash(1, &[FATAL, BYSTANDER]);
    group.report_crash(2, &[FATAL, BYSTANDER]);
    group.report_crash(3, &[FATAL]);
    assert_eq!(group.watched(), [FATAL]);
    for number in 4..8 {
        group.report_crash(number, &[FATAL, BYSTANDER]);
    }
    assert_eq!(group.watched(), [FATAL]);
}

#[test]
fn of_two_contents_quarantined_together_the_one_with_fewer_crashes_is_released() {
    let mut group = Group::new();
    for number in 0..CRASHES {
        group.report_crash(number, &[FATAL, BYSTANDER]);
    }
    assert_eq!(group.quarantined(), [FATAL, BYSTANDER]);
    group.report_crash(9, &[FATAL]);
    assert_eq!(group.watched(), [FATAL]);
}

#[test]
fn quarantine_expires_and_one_more_crash_restores_it() {
    let mut group = Group::new();
    for number in 0..CRASHES {
        group.report_crash(number, &[FATAL]);
    }
    let time = u64::try_from(QUARANTINE_TIME.as_millis()).expect("some minutes");
    group.advance_time(time - 1);
    assert_eq!(group.quarantined(), [FATAL]);
    group.advance_time(1);
    assert_eq!(
        (group.watched(), group.quarantined()),
        (vec![FATAL], vec![])
    );
    group.report_crash(9, &[FATAL]);
    assert_eq!(group.quarantined(), [FATAL]);
    group.advance_time(time);
    group.advance_time(time);
    assert_eq!(group.watched(), []);
    assert_eq!(group.state.quarantine().due_unix_millis(), None);
}

#[test]
fn quarantine_survives_a_snapshot() {
    let mut group = Group::new();
    for number in 0..CRASHES {
        group.report_crash(number, &[FATAL, BYSTANDER]);
    }
    let restored = ControlState::decode(&group.state.encode()).expect("a state");
    assert_eq!(restored.quarantine(), group.state.quarantine());
    assert_eq!(restored, group.state);
}

/// With thousands of suspects the size of the state stays bounded, and the cause stays quarantined.
#[test]
fn suspects_are_bounded_and_the_cause_stays_quarantined() {
    let mut group = Group::new();
    for number in 0..200_u32 {
        let first = u64::from(number) * 200 + 10;
        let mut contents: Vec<_> = (first..first + 200).map(ContentDigest).collect();
        contents.push(FATAL);
        group.report_crash(number, &contents[if number < CRASHES { 0 } else { 1 }..]);
    }
    assert_eq!(group.quarantined(), [FATAL]);
    let mut group = Group::new();
    for number in 0..200_u32 {
        let first = u64::from(number) * 200 + 10;
        let contents: Vec<_> = (first..first + 200).map(ContentDigest).collect();
        group.report_crash(number, &contents);
    }
    assert!(group.state.encode().len() < 1_000_000, "8,192 suspects");
}

/// With random contents and repeated reports, a content that crashes endpoints is quarantined from its third crash on,
/// and a content that succeeds between crashes is not.
#[test]
fn cause_is_quarantined_and_succeeding_content_is_not_in_any_order() {
    arbtest(|input: &mut Unstructured<'_>| {
        let mut group = Group::new();
        let mut crashes = 0;
        let succeeding = ContentDigest(3);
        for number in 0..input.int_in_range(3..=40_u32)? {
            let contents = draw_contents(input, number)?;
            for _ in 0..input.int_in_range(1..=2_u32)? {
                group.report_crash(number, &contents);
            }
            crashes += u32::from(contents.contains(&FATAL));
            group.report_success(succeeding);
            let is_quarantined = group.quarantined().contains(&FATAL);
            assert_eq!(
                is_quarantined,
                crashes >= CRASHES,
                "after {crashes} crashes"
            );
            assert!(!group.watched().contains(&succeeding));
        }
        Ok(())
    })
    .budget_ms(2_000);
}

/// Contents that ran during a crash: one that is always there, one that appears once, and sometimes the cause.
fn draw_contents(input: &mut Unstructured<'_>, number: u32) -> Drawn<Vec<ContentDigest>> {
    let mut contents = vec![ContentDigest(3), ContentDigest(100 + u64::from(number))];
    if input.ratio(2, 3)? {
        contents.push(FATAL);
    }
    Ok(contents)
}
