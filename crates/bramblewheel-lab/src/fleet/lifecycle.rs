//! Start and planned stop of a whole fleet, in order.

use super::board::PATIENCE;
use super::error::FleetError;
use super::group;
use super::running::{Fleet, Load};
use super::together::join_all;
use crate::deployments::Example;
use crate::journal::now_us;
use std::time::Duration;
use tokio::time::sleep;

/// Time within which a bundle must be in force everywhere (`CONTRIBUTING.md`).
const ROLLOUT_PATIENCE: Duration = Duration::from_secs(18);
/// Pause between two questions which daemons are registered.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(100);

/// How long the roll-out of the second bundle took, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// From the publish to the last daemon.
    pub all_daemons_ms: u64,
}

impl Fleet {
    /// Starts everything but the callers, with a bundle published and in force everywhere.
    ///
    /// # Errors
    /// [`FleetError`] when anything does not come up.
    pub async fn start_all(&self, example: &Example) -> Result<Rollout, FleetError> {
        for replica in &self.plan.replicas {
            self.start_replica(replica).await?;
        }
        group::bootstrap(&self.control(), example.signed_bundle(1)).await?;
        let endpoints = self.plan.endpoints.iter();
        join_all(endpoints.map(|endpoint| async {
            self.start_endpoint(endpoint).await?;
            self.start_daemon(endpoint).await
        }))
        .await?;
        let gateways = self.plan.gateways.iter();
        join_all(gateways.map(|gateway| self.start_gateway(gateway))).await?;
        self.await_bundle(1, PATIENCE).await?;
        self.await_registrations().await?;
        let began_us = now_us();
        group::publish(&self.control(), example.signed_bundle(2)).await?;
        self.await_bundle(2, ROLLOUT_PATIENCE).await?;
        Ok(Rollout {
            all_daemons_ms: (now_us() - began_us) / 1000,
        })
    }

    /// Starts the callers, which begin to send at once.
    ///
    /// # Errors
    /// [`FleetError`] when one can't be started.
    pub async fn start_callers(&self, load: Load) -> Result<(), FleetError> {
        for (position, caller) in self.plan.callers.iter().enumerate() {
            self.start_caller(caller, load, position).await?;
        }
        Ok(())
    }

    /// Stops everything as planned: whoever sends goes first.
    ///
    /// # Errors
    /// [`FleetError`] when a process had ended before.
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
    async fn await_bundle(&self, version: u64, patience: Duration) -> Result<(), FleetError> {
        let endpoints = self.plan.endpoints.iter().map(|endpoint| &endpoint.daemon);
        let gateways = self.plan.gateways.iter().map(|gateway| &gateway.name);
        let waits = endpoints.chain(gateways).map(|daemon| async {
            self.board.bundle(daemon, version, patience).await?;
            Ok(())
        });
        join_all(waits).await
    }

    /// Waits until the control group knows every daemon.
    async fn await_registrations(&self) -> Result<(), FleetError> {
        let expected = self.plan.endpoints.len() + self.plan.gateways.len();
        let all_known = async {
            while group::daemons(&self.control()).await?.len() < expected {
                sleep(REGISTRATION_PERIOD).await;
            }
            Ok(())
        };
        tokio::time::timeout(PATIENCE, all_known)
            .await
            .unwrap_or_else(|_| Err(FleetError::Step("not all daemons registered".to_owned())))
    }
}
