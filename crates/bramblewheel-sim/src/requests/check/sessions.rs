//! Checks that every daemon accepts every valid session.

use super::super::record::Record;
use super::{Promise, Violation};
use crate::kernel::{Entry, Fact};

pub(super) fn check(history: &[Entry<Record>]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, entry) in history.iter().enumerate() {
        if let Fact::Domain(Record::SessionRefused { send }) = &entry.fact {
            violations.push(Violation {
                promise: Promise::SessionsKept,
                message: format!("the valid session of send {} was refused", send.0),
                evidence: vec![index],
            });
        }
    }
    violations
}
