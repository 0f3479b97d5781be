//! Straight lines through measured points.

/// A straight line `intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Growth per unit of `x`.
    pub slope: f64,
}

impl Line {
    /// Value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line by least squares; none with fewer than two different `x`.
pub fn least_squares(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let covered: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = covered / spread;
    Some(Line {
        intercept: mean_y - slope * mean_x,
        slope,
    })
}

/// The value below which a share of the sorted values lies; none of none.
pub fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    let index = (share * last as f64).round() as usize;
    sorted.get(index.min(last)).copied()
}
