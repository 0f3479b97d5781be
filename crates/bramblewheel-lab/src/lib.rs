//! Stand-in endpoints and callers, fleet runner, benches and reports.
