//! Checks that no daemon returns to an older bundle, not even after a restart.

use super::Finding;
use super::history::History;

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("bundle-version");
    for (daemon, versions) in &history.versions {
        for pair in versions.windows(2) {
            finding.add_case(pair[0] <= pair[1], || {
                format!("{daemon} went from bundle {} back to {}", pair[0], pair[1])
            });
        }
    }
    finding
}
