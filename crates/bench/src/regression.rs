//! A straight line through measured points.

/// One measured quantity at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// Dotted name.
    pub name: &'static str,
    /// What the size counts.
    pub per: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// Size and value of each point.
    pub points: Vec<(f64, f64)>,
}

/// The line that fits a series best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value added by one more of what the size counts.
    pub slope: f64,
    /// The value at size zero.
    pub constant: f64,
    /// The largest distance of a point from the line, as a part of the largest
    /// value.
    pub spread: f64,
}

impl Series {
    /// Fits a line by least squares.
    pub fn fit(&self) -> Line {
        let count = self.points.len() as f64;
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let covariance: f64 = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let constant = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - constant - slope * x).abs();
        let largest = self.points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let farthest = self.points.iter().map(distance).fold(0.0, f64::max);
        Line {
            slope,
            constant,
            spread: if largest > 0.0 {
                farthest / largest
            } else {
                0.0
            },
        }
    }

    /// Returns the growth of the value over the growth of the size, both from
    /// the smallest to the largest point, above the fitted constant. Well above
    /// 1 means that the value grows faster than the size.
    pub fn growth(&self) -> f64 {
        let constant = self.fit().constant.max(0.0);
        let (Some(first), Some(last)) = (self.points.first(), self.points.last()) else {
            return f64::NAN;
        };
        ((last.1 - constant) / (first.1 - constant).max(f64::EPSILON)) / (last.0 / first.0)
    }
}
