//! Deterministic discrete-event simulator: network, disks, clocks, callers, endpoints, faults, checkers.
