//! Request decisions as pure state machines: admission, routing, retries, run-once claims, sessions.
