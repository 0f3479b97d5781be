//! Variants of enforcing the bound that are compared.

/// How the bound is enforced over a call tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// As in the product: calls count by the retried share of their runs, daemons report the use downstream, and calls
    /// of retried runs are refused once the bound is used up.
    Product,
    /// Calls of retried runs are only counted.
    CountingOnly,
    /// Daemons do not report the use downstream.
    NoReports,
    /// No call is refused.
    NoRefusals,
    /// Calls of retried runs count as first sends: the unsafe variant that the check must detect.
    CountedAsFirstSends,
}

impl Variant {
    /// Whether calls of retried runs count as retries.
    pub fn counts(self) -> bool {
        self != Self::CountedAsFirstSends
    }

    /// Whether daemons report the use downstream.
    pub fn reports(self) -> bool {
        matches!(self, Self::Product | Self::NoRefusals)
    }

    /// Whether calls of retried runs are refused once the bound is used up.
    pub fn refuses(self) -> bool {
        matches!(self, Self::Product | Self::NoReports)
    }
}
