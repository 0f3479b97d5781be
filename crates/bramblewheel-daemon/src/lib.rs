//! The data-plane process beside each endpoint, and the gateway.
