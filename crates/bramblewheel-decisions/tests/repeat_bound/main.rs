//! The bound on retries over whole call trees, on virtual time.
//!
//! What users saw: a service that all trees meet in got 11% more arrivals beyond the first of their request than the
//! bound allows, while its endpoints rejected a part of what they got and callers came in numbers.
//!
//! The order of events: requests are retried at the services upstream, after rejections and lost answers. Each of
//! these runs makes its calls again, up to four in a row. The daemon beside the endpoint that makes them took them
//! for first sends, which even earned further retries, so that each service kept to its own part and the one
//! downstream of all got the sum.
//!
//! The evidence: with rejections at the upper services only, the lowest one got 1,224 arrivals beyond the first for
//! 5,005 requests in 10 s, of 1,058 allowed, although nothing at all was sent to it again. With rejections there and
//! lost answers above, its callers' daemons counted some 1,200 retries of their own, within their part, of 2,518 in
//! all; the 513 runs that were retried upstream account for the rest.

mod fleet;
mod judge;
mod shape;
mod tree;
mod way;

use fleet::Fleet;
use judge::Margin;
use shape::Shape;
use std::fmt;
use way::Way;

/// Seeds that every run of the tests plays; more are played by hand.
const SEEDS: u64 = 200;

/// Seeds to play: those of every run, or as many as the environment says.
fn seeds() -> std::ops::Range<u64> {
    let stated = std::env::var("BW_REPEAT_BOUND_SEEDS").ok();
    let stated = stated.map(|text| text.parse().expect("a number of seeds"));
    0..stated.unwrap_or(SEEDS)
}

/// What came out of one seed.
struct Played {
    seed: u64,
    margin: Margin,
    /// Part of the callers' requests that ended with success.
    served: f64,
}

fn played(shape: Shape, way: Way, seed: u64) -> Played {
    let mut fleet = Fleet::new(shape, way, seed);
    fleet.run();
    let (asked, served) = fleet.roots;
    Played {
        seed,
        margin: fleet.judge.worst_margin(),
        served: served as f64 / asked.max(1) as f64,
    }
}

/// Plays the drawn shapes of all seeds, on all cores.
fn play_drawn(way: Way) -> Vec<Played> {
    const WORKERS: u64 = 8;
    std::thread::scope(|scope| {
        let worker = |first: u64| {
            let own = seeds().filter(move |seed| seed % WORKERS == first);
            own.map(|seed| played(Shape::drawn(seed), way, seed))
                .collect()
        };
        let workers: Vec<_> = (0..WORKERS)
            .map(|first| scope.spawn(move || worker(first)))
            .collect();
        let results = workers.into_iter().map(|worker| worker.join());
        let results =
            results.map(|result: std::thread::Result<Vec<Played>>| result.expect("no panic"));
        results.flatten().collect()
    })
}

/// The results of one way.
struct Summary {
    broken: Vec<u64>,
    worst: Margin,
    served: f64,
}

impl Summary {
    fn of(all: Vec<Played>) -> Self {
        let is_broken = |played: &&Played| !played.margin.is_kept();
        let mut broken: Vec<u64> = all
            .iter()
            .filter(is_broken)
            .map(|played| played.seed)
            .collect();
        broken.sort_unstable();
        let served: f64 = all.iter().map(|played| played.served).sum();
        let count = all.len();
        Self {
            broken,
            served: served / count as f64,
            worst: Margin::worst_of(all.into_iter().map(|played| played.margin)),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            broken,
            worst,
            served,
        } = self;
        write!(
            formatter,
            "{} broken, first {:?}; served {served:.4}; worst {:.3}: {worst}",
            broken.len(),
            broken.iter().take(12).collect::<Vec<_>>(),
            worst.used()
        )
    }
}

/// Three services in a row above a narrow one reject what they get, which itself rejects nothing.
#[test]
fn repeats_at_the_services_above_keep_the_bound_of_the_one_below() {
    let all = (0..20).map(|seed| played(Shape::rejections_above(), Way::Whole, seed));
    let summary = Summary::of(all.collect());
    println!("{summary}");
    assert!(
        summary.worst.extra > 100,
        "the bound was never near: {summary}"
    );
    assert!(summary.broken.is_empty(), "{summary}");
}

/// Trees of any depth and width, with faults at any service, in fleets of any size.
#[test]
fn drawn_trees_keep_the_bound_at_every_service() {
    let summary = Summary::of(play_drawn(Way::Whole));
    println!("{summary}");
    assert!(summary.broken.is_empty(), "{summary}");
}

/// The unsafe way is found out soon, so that the check is worth something.
#[test]
fn calls_of_repeated_runs_that_count_as_first_sends_are_found_out() {
    let is_broken = |seed| {
        let played = played(Shape::drawn(seed), Way::AllAreFirstSends, seed);
        !played.margin.is_kept()
    };
    let first = (0..20).find(|seed| is_broken(*seed));
    println!("found out by seed {first:?}");
    assert!(first.is_some());
}

/// What each part is worth: seeds on which the bound breaks without it, and what is served with and without.
#[test]
fn the_ways_are_compared_on_the_same_trees() {
    let summary = |way| {
        let summary = Summary::of(play_drawn(way));
        println!("{way:?}: {summary}");
        summary
    };
    summary(Way::NothingReported);
    summary(Way::NothingRefused);
    let only_counted = summary(Way::OnlyCounted);
    assert!(
        !only_counted.broken.is_empty(),
        "counting alone is not enough"
    );
    let all_are_first_sends = summary(Way::AllAreFirstSends);
    assert!(all_are_first_sends.broken.len() > only_counted.broken.len());
}
