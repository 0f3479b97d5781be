//! Seeded random number streams, one per purpose, so that draws for one purpose never affect another.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Purpose of a random number stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Delays, losses and duplicates on the network.
    Network,
    /// The decisions of one process.
    Process(u32),
    /// Clocks of the processes.
    Clocks,
    /// Kinds, times and targets of faults.
    Faults,
    /// Load.
    Load,
    /// Other purposes, numbered by the domain.
    Other(u32),
}

impl Purpose {
    const fn number(self) -> u64 {
        match self {
            Self::Network => 1,
            Self::Clocks => 2,
            Self::Faults => 3,
            Self::Load => 5,
            Self::Process(index) => (1 << 32) | index as u64,
            Self::Other(index) => (2 << 32) | index as u64,
        }
    }
}

/// Random number streams of one run.
#[derive(Clone, Copy, Debug)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// The streams of a seed.
    pub const fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// A new stream for a purpose; equal on each call.
    pub fn stream(self, purpose: Purpose) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(mix(mix(self.seed) ^ purpose.number()))
    }
}

/// Spreads the bits of a number (finaliser of splitmix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
