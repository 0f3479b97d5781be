//! The ways to keep the bound that are compared.

/// How the bound is kept over a tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// As the product does: calls count by the retried share of their runs, daemons report what is used
    /// downstream, and calls of retried runs are refused once the bound is used up.
    Whole,
    /// Calls of retried runs are counted, and nothing else is done about them.
    OnlyCounted,
    /// Daemons report nothing of what is used downstream.
    NothingReported,
    /// No call is refused.
    NothingRefused,
    /// Calls of retried runs count as first sends: the unsafe way that must be found out.
    AllAreFirstSends,
}

impl Way {
    /// Whether calls of retried runs count as retries.
    pub fn counts(self) -> bool {
        self != Self::AllAreFirstSends
    }

    /// Whether daemons report what is used downstream.
    pub fn reports(self) -> bool {
        matches!(self, Self::Whole | Self::NothingRefused)
    }

    /// Whether calls of retried runs are refused once the bound is used up.
    pub fn refuses(self) -> bool {
        matches!(self, Self::Whole | Self::NothingReported)
    }
}
