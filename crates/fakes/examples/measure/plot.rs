//! Charts of measurements as SVG files.

use {
    crate::load::SecondCounts,
    eyre::{Result, eyre},
    plotters::{coord::types::RangedCoordf64, prelude::*},
    std::path::Path,
};

/// Width and height of a chart, pixels.
const SIZE_PX: (u32, u32) = (720, 320);

fn draw_error(cause: impl std::fmt::Display) -> eyre::Report {
    eyre!("failed to draw the chart: {cause}")
}

/// A chart with two numeric axes.
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws a chart with axes from 0 to `maxima`; `draw` adds the content.
fn draw_chart(
    file: &Path,
    maxima: (f64, f64),
    labels: (&str, &str),
    draw: impl FnOnce(&mut Chart<'_>) -> Result<()>,
) -> Result<()> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..maxima.0, 0.0..maxima.1)
        .map_err(draw_error)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc(labels.0)
        .y_desc(labels.1)
        .draw()
        .map_err(draw_error)?;
    draw(&mut chart)?;
    area.present().map_err(draw_error)
}

/// Draws the share of requests answered in time for each second. The data centre is drained
/// during the second of three phases, each `phase_seconds` long.
pub fn draw_shares(file: &Path, seconds: &[SecondCounts], phase_seconds: u64) -> Result<()> {
    let share = |(in_time, sent): &SecondCounts| 100.0 * *in_time as f64 / (*sent).max(1) as f64;
    let points = seconds.iter().enumerate();
    let points = points.map(|(second, counts)| (second as f64, share(counts)));
    let maxima = (seconds.len() as f64, 105.0);
    let labels = ("seconds", "answered in time, percent");
    draw_chart(file, maxima, labels, |chart| {
        let drained = [
            (phase_seconds as f64, 0.0),
            (2.0 * phase_seconds as f64, maxima.1),
        ];
        let shade = Rectangle::new(drained, BLACK.mix(0.08).filled());
        chart.draw_series([shade]).map_err(draw_error)?;
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(draw_error)?;
        Ok(())
    })
}

/// Draws the number of replicas that serve the version over time, with the lower bound of the
/// roll-out time as a vertical line. `served` has pairs of seconds and count.
pub fn draw_replicas(file: &Path, served: &[(f64, usize)], bound_seconds: f64) -> Result<()> {
    let last_second = served
        .last()
        .map_or(1.0, |(second, _)| *second)
        .max(bound_seconds);
    let max_count = served.last().map_or(1, |(_, count)| *count) as f64;
    let maxima = (last_second * 1.05, max_count * 1.05);
    draw_chart(file, maxima, ("seconds", "replicas complete"), |chart| {
        let points = served
            .iter()
            .map(|(second, count)| (*second, *count as f64));
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(draw_error)?;
        let line = [(bound_seconds, 0.0), (bound_seconds, maxima.1)];
        chart
            .draw_series(LineSeries::new(line, &RED))
            .map_err(draw_error)?;
        Ok(())
    })
}
