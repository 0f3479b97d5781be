//! Draws a workload from a seed: call trees of up to four levels, long-tailed times and sizes, endpoints with few slots.

use super::{Calls, Connections, RequestKind, Spread, Workload};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of kinds that callers send.
const CALLER_KINDS: std::ops::RangeInclusive<usize> = 3..=5;
/// Longest answer, in bytes; longer than all buffers between an endpoint and a caller together.
const MAX_ANSWER_BYTES: u64 = 4_000_000;

/// Returns the workload of a seed.
pub fn draw(seed: u64) -> Workload {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed_0f10_ad00);
    let services = random.random_range(2..=4);
    let mut kinds = Vec::new();
    for level in 1..services {
        kinds.push(called_kind(&mut random, level, services));
    }
    for number in 0..random.random_range(CALLER_KINDS) {
        kinds.push(caller_kind(&mut random, number, services));
    }
    Workload {
        name: format!("drawn-{seed}"),
        services,
        slots: random.random_range(4..=10),
        cold_ms: random.random_range(0..=3_000),
        kinds,
    }
}

/// Draws a kind that only endpoints call. There is one for each service but the first; each may call the next one.
fn called_kind(random: &mut Pcg64Mcg, level: usize, services: usize) -> RequestKind {
    let mut calls = Vec::new();
    if level + 1 < services && random.random_bool(0.6) {
        calls.push(calls_of(random, level + 1));
    }
    RequestKind {
        name: call_name(level),
        service: level,
        may_repeat: true,
        rank: random.random_range(0..3),
        timeout_ms: 3_000,
        deadline_ms: 3_000,
        objective_ms: 1_000,
        per_second: 0.0,
        work_ms: Spread {
            least: 1,
            most: random.random_range(5..40),
            long_part: 0.02,
            longest: 400,
        },
        answer_bytes: Spread::exactly(200),
        body_bytes: Spread::default(),
        calls,
        connections: Connections::Fresh,
        slow_readers: 0.0,
        slow_senders: 0.0,
    }
}

fn call_name(level: usize) -> String {
    format!("call-{level}")
}

fn calls_of(random: &mut Pcg64Mcg, level: usize) -> Calls {
    Calls {
        kind: call_name(level),
        times: random.random_range(1..=3),
        together: random.random_bool(0.5),
    }
}

fn caller_kind(random: &mut Pcg64Mcg, number: usize, services: usize) -> RequestKind {
    let service = random.random_range(0..services);
    let mut calls = Vec::new();
    if service + 1 < services && random.random_bool(0.6) {
        calls.push(calls_of(random, service + 1));
    }
    let timeout_ms = [800, 2_000, 6_000, 6_000][random.random_range(0..4)];
    let connections = [Connections::Fresh, Connections::Kept, Connections::Pooled];
    let is_large = random.random_bool(0.3);
    RequestKind {
        name: format!("kind-{number}"),
        service,
        may_repeat: random.random_bool(0.6),
        rank: random.random_range(0..3),
        timeout_ms,
        deadline_ms: 6_000,
        objective_ms: timeout_ms / 2,
        per_second: random.random_range(2.0..8.0),
        work_ms: Spread {
            least: 2,
            most: random.random_range(40..250),
            long_part: random.random_range(0.0..0.2),
            longest: timeout_ms * 6 / 5,
        },
        answer_bytes: Spread {
            least: 20,
            most: 8_000,
            long_part: if is_large { 0.1 } else { 0.0 },
            longest: MAX_ANSWER_BYTES,
        },
        body_bytes: Spread {
            least: 0,
            most: 2_000,
            long_part: random.random_range(0.0..0.1),
            longest: 300_000,
        },
        calls,
        connections: connections[random.random_range(0..3)],
        slow_readers: random.random_range(0.0..0.5),
        slow_senders: random.random_range(0.0..0.2),
    }
}
