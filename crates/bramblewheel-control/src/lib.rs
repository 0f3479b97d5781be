//! The control replica process: bundles, claims, registrations.
