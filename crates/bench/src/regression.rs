//! Fits a line to measured points by linear regression.

/// A quantity measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// Dotted name of the quantity.
    pub name: &'static str,
    /// What the size counts, in the singular, such as `agent`.
    pub per: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The size and the value of each point.
    pub points: Vec<(f64, f64)>,
}

/// The least-squares line of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The increase of the value per unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// The largest absolute residual, as a fraction of the largest absolute
    /// value.
    pub max_residual: f64,
}

impl Series {
    /// Fits a line by least squares.
    pub fn fit(&self) -> Line {
        let count = self.points.len() as f64;
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let covariance: f64 = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_size) * (y - mean_value))
            .sum();
        let variance: f64 = self
            .points
            .iter()
            .map(|(x, _)| (x - mean_size).powi(2))
            .sum();
        let slope = covariance / variance;
        let intercept = mean_value - slope * mean_size;
        let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
        let max_value = self.points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let max_distance = self.points.iter().map(distance).fold(0.0, f64::max);
        Line {
            slope,
            intercept,
            max_residual: if max_value > 0.0 {
                max_distance / max_value
            } else {
                0.0
            },
        }
    }

    /// Returns the growth factor of the value above the fitted intercept divided
    /// by the growth factor of the size, both from the first to the last point.
    /// A ratio well above 1 means that the value grows faster than the size.
    pub fn growth_ratio(&self) -> f64 {
        let intercept = self.fit().intercept.max(0.0);
        let (Some(first), Some(last)) = (self.points.first(), self.points.last()) else {
            return f64::NAN;
        };
        ((last.1 - intercept) / (first.1 - intercept).max(f64::EPSILON)) / (last.0 / first.0)
    }
}
