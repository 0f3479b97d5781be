//! The bench's output: tables for people, then key=value lines for scripts.

use super::summary::{Spread, Summary};
use bramblewheel_sim::requests::overload::{BASE_LOAD, SLOWDOWN, Subject};

/// What is measured, in words.
pub fn print_head(deployment: &str, subject: &Subject) {
    let deep = subject.deep_service();
    println!("# bench overload {deployment}");
    println!(
        "cause: {} takes {SLOWDOWN} times as long and demand rises, from 7 s to 17 s; callers send \
         up to 4 times",
        subject.topology.services[deep.0].name
    );
    println!(
        "demand before and after: {:.0} requests/s, {:.0}% of what the slots can serve",
        subject.base_rate(),
        BASE_LOAD * 100.0
    );
}

/// One factor's table.
pub fn print_surge(subject: &Subject, surge: f64, summaries: &[Summary]) {
    let rates = subject.bound(surge);
    let offered = subject.base_rate() * surge;
    let bound: f64 = rates.iter().sum();
    let cheap_first = subject.bound_cheap_first(surge);
    let any_class = subject.bound_any_class(surge);
    println!();
    println!("## demand x{surge}: {offered:.0} requests/s offered");
    println!(
        "bound, most important class first: {bound:.0}/s; with its cheap kinds first: \
         {cheap_first:.0}/s; if all classes counted the same: {any_class:.0}/s"
    );
    println!("median (worst) over the seeds:");
    let mut head = format!(
        "{:<13} {:>5} {:>14} {:>12}",
        "layer", "seeds", "goodput/s", "% of bound"
    );
    for (class, _) in summaries.first().map_or(&[][..], |s| &s.class_goodput) {
        head += &format!(" {:>22}", format!("{class} %good [%best]"));
    }
    head += &format!(
        " {:>12} {:>14} {:>14} {:>9}",
        "wasted %", "tries/call", "recovery s", "repeated"
    );
    println!("{head}");
    for summary in summaries {
        println!("{}", row(subject, &rates, offered, summary));
    }
}

fn row(subject: &Subject, rates: &[f64], offered: f64, summary: &Summary) -> String {
    let mut line = format!(
        "{:<13} {:>5} {:>14} {:>12}",
        summary.kind.as_str(),
        summary.seeds,
        spread(summary.goodput, 1.0, 0),
        spread(summary.of_bound, 100.0, 1)
    );
    for ((class, share), best_rate) in summary.class_share.iter().zip(rates) {
        let flows = subject.topology.flows.iter().zip(subject.classes());
        let offered_share: f64 = flows
            .filter(|(_, c)| c == class)
            .map(|(flow, _)| flow.model.share)
            .sum();
        let best = best_rate / (offered * offered_share);
        let text = format!("{} [{:.1}]", spread(*share, 100.0, 1), best * 100.0);
        line += &format!(" {text:>22}");
    }
    line + &format!(
        " {:>12} {:>14} {:>14} {:>9}",
        spread(summary.wasted, 100.0, 1),
        spread(summary.amplification, 1.0, 2),
        spread(summary.recovery, 1.0, 1),
        spread(summary.repeated, 1.0, 0)
    )
}

fn spread(spread: Spread, factor: f64, decimals: usize) -> String {
    format!(
        "{:.decimals$} ({:.decimals$})",
        spread.median * factor,
        spread.worst * factor
    )
}

/// One line of key=value pairs for each layer.
pub fn print_lines(deployment: &str, surge: f64, summaries: &[Summary]) {
    for summary in summaries {
        let mut line = format!(
            "deployment={deployment} surge={surge} layer={} seeds={}",
            summary.kind.as_str(),
            summary.seeds
        );
        line += &pair("goodput_per_s", summary.goodput, 1);
        line += &pair("of_bound", summary.of_bound, 4);
        for (class, share) in &summary.class_share {
            line += &pair(&format!("good_share_{class}"), *share, 4);
        }
        line += &pair("wasted_share", summary.wasted, 4);
        line += &pair("retry_amplification", summary.amplification, 3);
        line += &pair("recovery_s", summary.recovery, 1);
        line += &pair("repeated_operations", summary.repeated, 0);
        println!("{line}");
    }
}

fn pair(name: &str, spread: Spread, decimals: usize) -> String {
    format!(
        " {name}_median={:.decimals$} {name}_worst={:.decimals$}",
        spread.median, spread.worst
    )
}
