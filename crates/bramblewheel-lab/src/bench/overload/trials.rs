//! All runs of a bench, spread over threads. A run depends on its own seed only.

use bramblewheel_sim::requests::LayerKind;
use bramblewheel_sim::requests::overload::{OverloadRun, Subject};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// One run to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// The layer.
    pub kind: LayerKind,
    /// Factor on the demand.
    pub surge: f64,
    /// The seed.
    pub seed: u64,
}

/// A run that was made.
#[derive(Clone, Debug)]
pub struct TrialResult {
    /// Which.
    pub trial: Trial,
    /// What came out.
    pub run: OverloadRun,
}

/// All layers at each factor: the first with all seeds, the others with the first few.
pub fn plan(surges: &[f64], seeds: &[u64], sweep_seeds: usize) -> Vec<Trial> {
    let mut trials = Vec::new();
    for (position, surge) in surges.iter().enumerate() {
        let used = if position == 0 {
            seeds
        } else {
            &seeds[..sweep_seeds.min(seeds.len())]
        };
        for seed in used {
            for kind in LayerKind::ALL {
                trials.push(Trial {
                    kind,
                    surge: *surge,
                    seed: *seed,
                });
            }
        }
    }
    trials
}

/// Runs all trials; the results are in the order of the trials.
pub fn run_all(subject: &Subject, trials: &[Trial], threads: usize) -> Vec<TrialResult> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<OverloadRun>>> =
        trials.iter().map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, trials.len().max(1)) {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::Relaxed);
                    let Some(trial) = trials.get(position) else {
                        return;
                    };
                    let run = subject.run(trial.kind, trial.surge, trial.seed, |_, _| {});
                    let mut result = results[position]
                        .lock()
                        .expect("only the thread that made the run takes this lock");
                    *result = Some(run);
                }
            });
        }
    });
    let runs = results.into_iter().zip(trials).filter_map(|(run, trial)| {
        let run = run
            .into_inner()
            .expect("a panic in a run has ended the scope")?;
        Some(TrialResult { trial: *trial, run })
    });
    runs.collect()
}
