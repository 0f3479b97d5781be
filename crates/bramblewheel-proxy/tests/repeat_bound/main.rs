//! The bound on repeated sends over whole call trees, on virtual time.
//!
//! What users saw: a service that all trees meet in got 11% more arrivals beyond the first of their request than the bound
//! allows, while its endpoints rejected a part of what they got and callers came in numbers.
//!
//! The order of events: requests are sent again at the services above, after rejections and lost answers. Each of these
//! runs makes its calls again, up to four in a row. The daemon beside the endpoint that makes them took them for first
//! sends, which even earned further repeats, so that each service kept to its own part and the one below all of them got the sum.
//!
//! The evidence: with rejections at the upper services only, the lowest one got 1,224 arrivals beyond the first for
//! 5,005 requests in 10 s, of 1,058 allowed, although nothing at all was sent to it again. With rejections there
//! and lost answers above, its callers' daemons counted some 1,200 repeats of their own, within their part, of 2,518 in all;
//! the 513 runs that were repeated above account for the rest.

mod fleet;
mod judge;
mod shape;

use fleet::Fleet;
use judge::Margin;
use shape::Shape;

/// Seeds that every run of the tests plays; more are played by hand.
const SEEDS: u64 = 200;

/// Seeds to play: those of every run, or as many as the environment says.
fn seeds() -> std::ops::Range<u64> {
    let stated = std::env::var("BW_REPEAT_BOUND_SEEDS").ok();
    let stated = stated.map(|text| text.parse().expect("a number of seeds"));
    0..stated.unwrap_or(SEEDS)
}

fn played(shape: Shape, seed: u64) -> Margin {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run();
    fleet.judge.worst_margin()
}

/// Three services in a row above a narrow one reject what they get, which itself rejects nothing.
#[test]
fn repeats_at_the_services_above_keep_the_bound_of_the_one_below() {
    let worst = (0..20).map(|seed| played(Shape::rejections_above(), seed));
    let worst = Margin::worst_of(worst);
    println!("worst margin: {worst:?}");
    assert!(worst.extra > 100, "the bound was never near: {worst:?}");
    assert!(worst.is_kept(), "{worst:?}");
}

/// Trees of any depth and width, with faults at any service, in fleets of any size.
#[test]
fn drawn_trees_keep_the_bound_at_every_service() {
    let mut worst: Option<(u64, Margin)> = None;
    let mut broken = Vec::new();
    for seed in seeds() {
        let margin = played(Shape::drawn(seed), seed);
        if !margin.is_kept() {
            broken.push(seed);
        }
        if worst
            .as_ref()
            .is_none_or(|(_, other)| margin.used() > other.used())
        {
            worst = Some((seed, margin));
        }
    }
    println!("worst margin: {worst:?}; broken: {broken:?}");
    assert!(
        broken.is_empty(),
        "{} seeds, such as {:?}: {worst:?}",
        broken.len(),
        broken.first()
    );
}
