//! Linear regression over measured points.

use serde::Serialize;

/// One measured point: a size and its cost.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct SizePoint {
    pub(super) size: f64,
    pub(super) cost: f64,
}

/// A line fitted by least squares: cost = fixed + each * size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct CostLine {
    pub(super) fixed: f64,
    pub(super) each: f64,
    /// Coefficient of determination (R squared): 1 is a perfect fit.
    pub(super) fit: f64,
}

impl CostLine {
    /// Fits a line to `points`; its slope is zero when all sizes are the same.
    pub(super) fn fit(points: &[SizePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |pick: fn(&SizePoint) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (mean_size, mean_cost) = (mean(|point| point.size), mean(|point| point.cost));
        let size_variation: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
        let covariance: f64 =
            points.iter().map(|point| (point.size - mean_size) * (point.cost - mean_cost)).sum();
        let each = if size_variation > 0.0 { covariance / size_variation } else { 0.0 };
        let fixed = mean_cost - each * mean_size;
        let cost_variation: f64 = points.iter().map(|point| (point.cost - mean_cost).powi(2)).sum();
        let residual: f64 =
            points.iter().map(|point| (point.cost - fixed - each * point.size).powi(2)).sum();
        let fit = if cost_variation > 0.0 { 1.0 - residual / cost_variation } else { 1.0 };
        Self { fixed, each, fit }
    }
}

/// Largest difference between the costs measured at one size, in percent of their mean.
pub(super) fn spread_percent(points: &[SizePoint]) -> f64 {
    let mut widest = 0.0_f64;
    for point in points {
        let same: Vec<f64> = points
            .iter()
            .filter(|other| other.size.total_cmp(&point.size).is_eq())
            .map(|other| other.cost)
            .collect();
        let high = same.iter().copied().fold(f64::MIN, f64::max);
        let low = same.iter().copied().fold(f64::MAX, f64::min);
        let mean = same.iter().sum::<f64>() / same.len() as f64;
        if mean.abs() > f64::EPSILON {
            widest = widest.max((high - low) / mean * 100.0);
        }
    }
    widest
}
