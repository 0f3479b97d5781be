//! Logs and counts answers that are ended at their deadline.
//!
//! Appear in the log line `answer ended at its deadline` and the metric `bramblewheel_overdue_answers_total`.

use crate::http::answer_rest::AnswerDeadline;
use crate::in_progress::Progress;
use crate::inbound::dispatch::id_text;
use crate::shared::Shared;
use bramblewheel_types::{Millis, Timestamp};
use std::sync::Arc;

/// Deadline of the answer to a request.
pub(crate) fn answer_deadline(
    shared: &Arc<Shared>,
    progress: &Arc<Progress>,
    at: Timestamp,
) -> AnswerDeadline {
    let (logged, progress) = (Arc::clone(shared), Arc::clone(progress));
    AnswerDeadline {
        clock: shared.clock,
        at,
        on_passed: Box::new(move || record_overdue(&logged, &progress)),
    }
}

/// Records that the answer to a request was not received to its end by its deadline.
pub(crate) fn record_overdue(shared: &Shared, progress: &Progress) {
    let sender = progress.sender();
    shared.metrics.overdue_answer(sender);
    slog::info!(shared.log, "answer ended at its deadline"; "id" => progress.id().map_or("", id_text),
        "from" => sender.as_str(),
        "after_ms" => Millis::of(shared.clock.since(progress.arrived())).0);
}
