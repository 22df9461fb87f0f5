//! Writes measured series as CSV and as a plot.

use {
    crate::regression::Series,
    plotters::prelude::*,
    std::{error::Error, fs, path::Path},
};

/// Writes one line for each point.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_csv(path: &Path, all_series: &[Series]) -> std::io::Result<()> {
    let mut text = String::from("name,per,unit,size,value\n");
    for series in all_series {
        for (size, value) in &series.points {
            let line = format!(
                "{},{},{},{size},{value:.3}\n",
                series.name, series.per, series.unit
            );
            text.push_str(&line);
        }
    }
    fs::write(path, text)
}

/// Draws every series in a chart of its own, with the fitted line.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_svg(path: &Path, all_series: &[Series]) -> Result<(), Box<dyn Error>> {
    let columns = 4;
    let rows = all_series.len().div_ceil(columns);
    let size = (columns as u32 * 320, rows as u32 * 240);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, series) in root.split_evenly((rows, columns)).iter().zip(all_series) {
        let line = series.fit();
        let max_size = series
            .points
            .iter()
            .map(|point| point.0)
            .fold(1.0, f64::max);
        let max_value = series
            .points
            .iter()
            .map(|point| point.1)
            .fold(1e-9, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{} [{}]", series.name, series.unit),
                ("sans-serif", 14),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..max_size * 1.05, 0.0..max_value * 1.1)?;
        chart
            .configure_mesh()
            .x_labels(4)
            .y_labels(4)
            .x_desc(format!("{}s", series.per))
            .draw()?;
        let ends = [0.0, max_size].map(|x| (x, line.intercept + line.slope * x));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
        let dots = series
            .points
            .iter()
            .map(|point| Circle::new(*point, 3, RED.filled()));
        chart.draw_series(dots)?;
    }
    root.present()?;
    Ok(())
}
