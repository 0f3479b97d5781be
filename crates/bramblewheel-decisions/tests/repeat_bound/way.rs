//! The ways to keep the bound that are compared.

/// How the bound is kept over a tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// As the product does: calls count by the part to which their runs are repeated, daemons tell what is used
    /// below, and calls of repeated runs are refused once the bound is used up.
    Whole,
    /// Calls of repeated runs are counted, and nothing else is done about them.
    OnlyCounted,
    /// Daemons tell nothing of what is used below.
    NothingTold,
    /// No call is refused.
    NothingRefused,
    /// Calls of repeated runs count as first sends: the unsafe way that must be found out.
    AllAreFirstSends,
}

impl Way {
    /// Whether calls of repeated runs count as repeats.
    pub fn counts(self) -> bool {
        self != Self::AllAreFirstSends
    }

    /// Whether daemons tell what is used below.
    pub fn tells(self) -> bool {
        matches!(self, Self::Whole | Self::NothingRefused)
    }

    /// Whether calls of repeated runs are refused once the bound is used up.
    pub fn refuses(self) -> bool {
        matches!(self, Self::Whole | Self::NothingTold)
    }
}
