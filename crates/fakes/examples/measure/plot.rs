//! Pictures of measurements.

use {
    crate::load::Second,
    eyre::{Result, eyre},
    plotters::prelude::*,
    std::path::Path,
};

/// Size of a picture, pixels.
const SIZE: (u32, u32) = (720, 320);

fn failed(cause: impl std::fmt::Display) -> eyre::Report {
    eyre!("could not draw: {cause}")
}

/// Draws the share answered in time by second; the data centre is out from `span` to twice it.
pub fn shares(file: &Path, seconds: &[Second], span: u64) -> Result<()> {
    let points: Vec<(f64, f64)> = seconds
        .iter()
        .enumerate()
        .map(|(second, (good, sent))| (second as f64, 100.0 * *good as f64 / (*sent).max(1) as f64))
        .collect();
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..points.len() as f64, 0.0..105.0)
        .map_err(failed)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc("seconds")
        .y_desc("answered in time, percent")
        .draw()
        .map_err(failed)?;
    let out = [(span as f64, 0.0), (2.0 * span as f64, 105.0)];
    let shade = Rectangle::new(out, BLACK.mix(0.08).filled());
    chart.draw_series([shade]).map_err(failed)?;
    chart
        .draw_series(LineSeries::new(points, &BLUE))
        .map_err(failed)?;
    area.present().map_err(failed)
}

/// Draws replicas that serve over time, with the bound as a line.
pub fn replicas(file: &Path, served: &[(f64, usize)], bound: f64) -> Result<()> {
    let last = served.last().map_or(1.0, |(at, _)| *at).max(bound);
    let most = served.last().map_or(1, |(_, n)| *n) as f64;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..last * 1.05, 0.0..most * 1.05)
        .map_err(failed)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc("seconds")
        .y_desc("replicas complete")
        .draw()
        .map_err(failed)?;
    let points = served.iter().map(|(at, n)| (*at, *n as f64));
    chart
        .draw_series(LineSeries::new(points, &BLUE))
        .map_err(failed)?;
    let line = [(bound, 0.0), (bound, most * 1.05)];
    chart
        .draw_series(LineSeries::new(line, &RED))
        .map_err(failed)?;
    area.present().map_err(failed)
}
