//! The retries of one original request stay within its retry tokens, whatever fails.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::{DispatchResult, Event, StoredAnswer};
use bramblewheel_core::retry::tokens::TokenPool;
use bramblewheel_types::{AttemptId, CallId, Outcome};
use std::cell::RefCell;
use std::time::Duration;
use support::network::{Network, Plan};
use support::{admission, at, attempt_answer, bundle, for_seeds, root_call, sub_call};

fn failing(sub_calls: Vec<(bramblewheel_types::ServiceName, u64)>, loses_answer: bool) -> Plan {
    Plan {
        sub_calls,
        end: DispatchResult::Answered {
            failed: true,
            stored: StoredAnswer::default(),
        },
        takes: Duration::from_micros(500),
        loses_answer,
    }
}

#[test]
fn tree_of_depth_15_with_every_hop_failing_stays_within_the_tokens() {
    const DEPTH: u8 = 15;
    const TOKENS: u32 = 6;
    for loses_answers in [false, true] {
        // Three sub-calls per hop, of which two are leaves and one continues the chain.
        let fan_out = |context: &CallContext| {
            let has_sub_calls = context.depth < DEPTH && context.path == "/";
            let branches: u64 = if has_sub_calls { 3 } else { 0 };
            let calls = (0..branches)
                .map(|index| {
                    let name = if index == 0 { "chain" } else { "leaf" };
                    (support::service(name), index)
                })
                .filter(|_| context.service == support::service("chain"))
                .collect();
            failing(calls, loses_answers)
        };
        let services = ["chain", "leaf"];
        let mut network = Network::new(&services, 3, TOKENS, admission(500, 500), fan_out);
        network.send(Duration::ZERO, 0, root_call(1, "chain", "/", None));
        network.run();
        assert!(network.counts.dispatched > 15 * 3 - 3);
        assert!(network.counts.extra_attempts() > 0, "nothing was retried");
        assert!(network.counts.extra_attempts() <= TOKENS);
        assert_ne!(network.counts.answers[&CallId(1)], Outcome::Completed);
    }
}

/// A random call tree: each endpoint makes up to three sub-calls, some of them repeated; some
/// answers are lost and some endpoints fail.
fn random_plan(
    unstructured: &RefCell<&mut Unstructured<'_>>,
    context: &CallContext,
) -> Result<Plan> {
    let mut source = unstructured.borrow_mut();
    let branches = if context.depth < 6 {
        source.int_in_range(0..=3)?
    } else {
        0
    };
    let mut sub_calls = Vec::new();
    for _ in 0..branches {
        let name = *source.choose(&["a", "b"])?;
        sub_calls.push((support::service(name), source.int_in_range(0..=4)?));
    }
    let end = match source.int_in_range(0..=3)? {
        0 => DispatchResult::Lost,
        1 => DispatchResult::NotSent,
        kind => DispatchResult::Answered {
            failed: kind == 2,
            stored: StoredAnswer::default(),
        },
    };
    Ok(Plan {
        sub_calls,
        end,
        takes: Duration::from_micros(500),
        loses_answer: source.ratio(1, 4)?,
    })
}

#[test]
fn random_trees_stay_within_the_tokens_and_report_true_outcomes() {
    for_seeds(200, 3_000, |u| {
        let tokens = u.int_in_range(0..=8)?;
        let source = RefCell::new(u);
        let plan = |context: &CallContext| {
            random_plan(&source, context).unwrap_or_else(|_| failing(Vec::new(), false))
        };
        let mut network = Network::new(&["a", "b"], 2, tokens, admission(200, 200), plan);
        network.send(Duration::ZERO, 0, root_call(1, "a", "/", None));
        network.run();
        assert!(network.counts.extra_attempts() <= tokens);
        // The root call and every sub-call got exactly one answer.
        let call_count = network.counts.sub_calls as usize + 1;
        assert_eq!(network.counts.answers.len(), call_count);
        for (call, outcome) in &network.counts.answers {
            let has_run = network.counts.ran.contains(call);
            assert!(
                !(outcome.is_not_run() && has_run),
                "{call} was run but answered not-run"
            );
            assert!(
                *outcome != Outcome::Completed || has_run,
                "{call} was completed but not run"
            );
        }
        Ok(())
    });
}

#[test]
fn pool_neither_creates_nor_loses_tokens() {
    for_seeds(300, 400, |u| {
        let granted: u32 = u.int_in_range(0..=20)?;
        let mut pool = TokenPool::new(granted);
        let mut lent = Vec::new();
        let mut destroyed = 0;
        for _ in 0..u.int_in_range(0..=50)? {
            match u.int_in_range(0..=2)? {
                0 => destroyed += u32::from(pool.spend()),
                1 => lent.push(pool.lend()),
                _ => {
                    let back = lent.pop().unwrap_or(0);
                    let spent: u32 = u.int_in_range(0..=10)?;
                    destroyed += spent.min(back);
                    pool.settle(back, spent);
                }
            }
            let outside: u32 = lent.iter().sum();
            assert_eq!(pool.available() + outside + destroyed, granted);
        }
        let outside: u32 = lent.iter().sum();
        assert_eq!(pool.close(), outside + destroyed);
        pool.settle(outside, 0);
        assert_eq!(pool.available(), 0);
        Ok(())
    });
}

#[test]
fn repeated_sub_calls_cost_tokens_and_are_then_refused() {
    let mut daemon =
        support::Daemon::new("a-0", Some("a"), 1, bundle(&["a", "b"], 9, admission(9, 9)));
    daemon.add_endpoints(&["b-0"], "b");
    let normal = bramblewheel_types::Criticality::Normal;
    let Event::InboundCall { mut context } = support::inbound(1, normal, None) else {
        unreachable!("inbound makes inbound calls");
    };
    context.retry_tokens = 2;
    daemon.step(at(1), Event::InboundCall { context });
    let parent = AttemptId(1);
    let first = daemon.step(at(2), sub_call(1, "b", parent, 77));
    assert!(support::sent(&first).is_some());
    let repeated = daemon.step(at(3), sub_call(2, "b", parent, 77));
    assert!(support::sent(&repeated).is_some());
    let third = daemon.step(at(4), sub_call(3, "b", parent, 77));
    assert_eq!(support::sent(&third), None);
    let outcome = support::call_answer(&third)
        .expect("the third sub-call is refused at once")
        .outcome;
    let exhausted = bramblewheel_types::NotRunReason::RetryBudgetExhausted;
    assert_eq!(support::reason(outcome), Some(exhausted));
    let orphan = daemon.step(at(5), sub_call(4, "b", AttemptId(99), 1));
    let outcome = support::call_answer(&orphan)
        .expect("a sub-call without a running parent is refused at once")
        .outcome;
    let invalid = bramblewheel_types::NotRunReason::InvalidRequest;
    assert_eq!(support::reason(outcome), Some(invalid));
    let ended = daemon.step(
        at(6),
        Event::DispatchEnded {
            attempt: parent,
            result: support::succeeded(),
        },
    );
    let (_, feedback) = attempt_answer(&ended, 1).expect("the attempt is answered");
    // One token for the repeat, one lent with a sub-call that was cancelled unanswered.
    assert_eq!(feedback.retry_tokens_spent, 2);
}
