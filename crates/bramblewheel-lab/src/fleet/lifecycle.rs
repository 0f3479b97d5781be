//! Ordered start and planned stop of a whole fleet.

use super::error::FleetError;
use super::group;
use super::join::join_all;
use super::process_status::DEFAULT_TIMEOUT;
use super::running::{Fleet, Load};
use crate::deployments::Example;
use crate::journal::now_us;
use std::time::Duration;
use tokio::time::sleep;

/// Time within which a published bundle must be in force at every daemon (`CONTRIBUTING.md`).
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(18);
/// Interval at which the registered daemons are requested.
const REGISTRATION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Duration of the roll-out of the second bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Time from the publication until the bundle was in force at every daemon, in milliseconds.
    pub all_daemons_ms: u64,
}

impl Fleet {
    /// Starts all processes except the callers and publishes a bundle; returns once it is in force at every daemon.
    ///
    /// # Errors
    /// [`FleetError`] when a process or the bundle is not ready in time.
    pub async fn start_all(&self, example: &Example) -> Result<Rollout, FleetError> {
        for replica in &self.plan.replicas {
            self.start_replica(replica).await?;
        }
        group::bootstrap(&self.control_addresses(), example.signed_bundle(1)).await?;
        let endpoints = self.plan.endpoints.iter();
        join_all(endpoints.map(|endpoint| async {
            self.start_endpoint(endpoint).await?;
            self.start_daemon(endpoint).await
        }))
        .await?;
        let gateways = self.plan.gateways.iter();
        join_all(gateways.map(|gateway| self.start_gateway(gateway))).await?;
        self.await_bundle(1, DEFAULT_TIMEOUT).await?;
        self.await_registrations().await?;
        let began_us = now_us();
        group::publish(&self.control_addresses(), example.signed_bundle(2)).await?;
        self.await_bundle(2, ROLLOUT_TIMEOUT).await?;
        Ok(Rollout {
            all_daemons_ms: (now_us() - began_us) / 1000,
        })
    }

    /// Starts the callers, which begin to send immediately.
    ///
    /// # Errors
    /// [`FleetError`] when one can't be started.
    pub async fn start_callers(&self, load: Load) -> Result<(), FleetError> {
        for (position, caller) in self.plan.callers.iter().enumerate() {
            self.start_caller(caller, load, position).await?;
        }
        Ok(())
    }

    /// Planned stop of all processes; senders are stopped before those they send to.
    ///
    /// # Errors
    /// [`FleetError`] when a process has already exited.
    pub async fn stop_all(&self) -> Result<(), FleetError> {
        let plan = &self.plan;
        self.stop_together(plan.callers.iter().map(|caller| &caller.name))
            .await?;
        self.stop_together(plan.gateways.iter().map(|gateway| &gateway.name))
            .await?;
        self.stop_together(plan.endpoints.iter().map(|endpoint| &endpoint.daemon))
            .await?;
        self.stop_together(plan.endpoints.iter().map(|endpoint| &endpoint.name))
            .await?;
        self.stop_together(plan.replicas.iter().map(|replica| &replica.name))
            .await
    }

    async fn stop_together(&self, names: impl Iterator<Item = &String>) -> Result<(), FleetError> {
        join_all(names.map(|name| self.stop(name))).await
    }

    /// Waits until a bundle is in force at every daemon.
    async fn await_bundle(&self, version: u64, timeout: Duration) -> Result<(), FleetError> {
        let endpoints = self.plan.endpoints.iter().map(|endpoint| &endpoint.daemon);
        let gateways = self.plan.gateways.iter().map(|gateway| &gateway.name);
        let waits = endpoints.chain(gateways).map(|daemon| async {
            self.status
                .wait_for_bundle(daemon, version, timeout)
                .await?;
            Ok(())
        });
        join_all(waits).await
    }

    /// Waits until every daemon is registered with the control group.
    async fn await_registrations(&self) -> Result<(), FleetError> {
        let expected = self.plan.endpoints.len() + self.plan.gateways.len();
        let all_registered = async {
            while group::daemons(&self.control_addresses()).await?.len() < expected {
                sleep(REGISTRATION_POLL_INTERVAL).await;
            }
            Ok(())
        };
        tokio::time::timeout(DEFAULT_TIMEOUT, all_registered)
            .await
            .unwrap_or_else(|_| Err(FleetError::Step("not all daemons registered".to_owned())))
    }
}
