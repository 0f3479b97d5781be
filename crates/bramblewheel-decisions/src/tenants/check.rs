//! Validation of the tenants of a table before it is put in force. No error message shows a key.

use super::{KeyDigest, Tenant};
use bramblewheel_types::TenantName;
use std::collections::{HashMap, HashSet};
use thiserror::Error;

/// Why tenants cannot be put in force. No message shows a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("tenant {0}: the name stands twice")]
    SameName(TenantName),
    /// Two tenants share a key.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
    /// A tenant lists a key twice.
    #[error("tenant {0}: a key stands twice")]
    RepeatedKey(TenantName),
    /// A key is empty.
    #[error("tenant {0}: a key is empty")]
    EmptyKey(TenantName),
    /// A rate is negative or not finite.
    #[error("tenant {0}: the rate is below zero or no number")]
    BadRate(TenantName),
    /// A burst is negative or not finite.
    #[error("tenant {0}: the burst is below zero or no number")]
    BadBurst(TenantName),
}

/// Checks the tenants of a table.
///
/// # Errors
/// The first [`TenantError`] found.
pub fn check(tenants: &[Tenant]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut holders: HashMap<KeyDigest, &TenantName> = HashMap::new();
    let empty = KeyDigest::of(b"");
    for tenant in tenants {
        let name = || tenant.name.clone();
        if !names.insert(&tenant.name) {
            return Err(TenantError::SameName(name()));
        }
        check_quota(tenant)?;
        for key in &tenant.keys {
            if *key == empty {
                return Err(TenantError::EmptyKey(name()));
            }
            match holders.insert(*key, &tenant.name) {
                None => {}
                Some(first) if *first == tenant.name => {
                    return Err(TenantError::RepeatedKey(name()));
                }
                Some(first) => {
                    return Err(TenantError::SharedKey {
                        first: first.clone(),
                        second: name(),
                    });
                }
            }
        }
    }
    Ok(())
}

fn check_quota(tenant: &Tenant) -> Result<(), TenantError> {
    let Some(quota) = tenant.quota else {
        return Ok(());
    };
    let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
    if !is_amount(quota.rate) {
        return Err(TenantError::BadRate(tenant.name.clone()));
    }
    if !is_amount(quota.burst) {
        return Err(TenantError::BadBurst(tenant.name.clone()));
    }
    Ok(())
}
