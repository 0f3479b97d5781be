//! Text of load statements, and which of several statements holds.

use bramblewheel_decisions::load_statement::{
    InvalidLoadStatement, LoadStatement, NewestStatement, StatedLoad,
};
use bramblewheel_types::Timestamp;
use std::time::Duration;

fn stated(work_percent: u32, age_millis: u64) -> StatedLoad {
    StatedLoad {
        statement: LoadStatement {
            running: 5,
            waiting: 1,
            slots: 18,
            work_percent,
        },
        age: Duration::from_millis(age_millis),
    }
}

#[test]
fn four_numbers_are_a_statement_and_three_are_none() {
    let expected = Ok(Some(stated(250, 0).statement));
    assert_eq!(LoadStatement::parse("5,1,18,250"), expected);
    assert_eq!(LoadStatement::parse(" 5, 1 ,18 , 250 "), expected);
    assert_eq!(LoadStatement::parse("5,1,18"), Ok(None));
    let largest = LoadStatement::parse("1000000,1000000,1000000,100000");
    assert!(matches!(largest, Ok(Some(_))));
}

/// Guards against nonsense of a peer that changes where requests are sent.
#[test]
fn other_texts_are_no_statement() {
    let no_numbers = [
        "",
        ",",
        "5",
        "5,1",
        "5,1,18,250,3",
        "5,1,18,",
        "5;1;18;250",
        "-5,1,18,250",
        "+5,1,18,250",
        "5,1,18,1e2",
        "5,1,18,NaN",
        "5,1,18,inf",
        "0x5,1,18,250",
        "5,1,18,250%",
        "5,1, ,250",
        "5,1,18,99.5",
    ];
    for text in no_numbers {
        let parsed = LoadStatement::parse(text);
        assert_eq!(parsed, Err(InvalidLoadStatement::NoNumbers), "{text:?}");
    }
    let out_of_range = [
        "5,1,0,250",
        "5,1,0",
        "5,1,18,0",
        "5,1,18,100001",
        "1000001,1,18,250",
        "5,1000001,18,250",
        "5,1,1000001",
        "5,1,18,4294967396",
        "99999999999999999999999,1,18,250",
    ];
    for text in out_of_range {
        let parsed = LoadStatement::parse(text);
        assert_eq!(parsed, Err(InvalidLoadStatement::OutOfRange), "{text:?}");
    }
    let long = "1".repeat(10 * 1_024);
    let parsed = LoadStatement::parse(&long);
    assert_eq!(parsed, Err(InvalidLoadStatement::TooLong));
}

/// Guards against an endpoint that counts as slow, or as idle, by what it stated long ago.
#[test]
fn statement_loses_weight_and_counts_as_absent_from_two_seconds_on() {
    let mut newest = NewestStatement::default();
    newest.record(Timestamp::from_millis(100), stated(300, 900));
    let at = |millis| newest.at(Timestamp::from_millis(millis));
    let known = at(200).expect("recent");
    assert_eq!(known, stated(300, 1_000));
    assert!((known.work_factor(1.0) - 2.0).abs() < 1e-9);
    assert!(at(1_199).is_some());
    assert_eq!(at(1_200), None);
    newest.record(Timestamp::from_millis(200), stated(300, u64::MAX));
    assert_eq!(newest.at(Timestamp::from_millis(200)), Some(known));
}

/// Guards against a late response that replaces what a newer one stated.
#[test]
fn older_statement_does_not_replace_a_newer_one() {
    let mut newest = NewestStatement::default();
    newest.record(Timestamp::from_millis(1_000), stated(100, 50));
    newest.record(Timestamp::from_millis(1_010), stated(250, 700));
    let known = newest.at(Timestamp::from_millis(1_010));
    assert_eq!(known, Some(stated(100, 60)));
    newest.record(Timestamp::from_millis(1_020), stated(250, 0));
    assert_eq!(
        newest.at(Timestamp::from_millis(1_020)),
        Some(stated(250, 0))
    );
}
