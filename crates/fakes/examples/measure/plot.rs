//! Pictures of measurements.

use {
    crate::load::Second,
    eyre::{Result, eyre},
    plotters::{coord::types::RangedCoordf64, prelude::*},
    std::path::Path,
};

/// Size of a picture, pixels.
const SIZE: (u32, u32) = (720, 320);

fn failed(cause: impl std::fmt::Display) -> eyre::Report {
    eyre!("could not draw: {cause}")
}

/// A chart of two numeric axes in an SVG file.
type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws axes up to `ends` with these names, then what `draw` adds.
fn frame(
    file: &Path,
    ends: (f64, f64),
    names: (&str, &str),
    draw: impl FnOnce(&mut Chart<'_>) -> Result<()>,
) -> Result<()> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..ends.0, 0.0..ends.1)
        .map_err(failed)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc(names.0)
        .y_desc(names.1)
        .draw()
        .map_err(failed)?;
    draw(&mut chart)?;
    area.present().map_err(failed)
}

/// Draws the share answered in time by second; the data centre is out from `span` to twice it.
pub fn shares(file: &Path, seconds: &[Second], span: u64) -> Result<()> {
    let share = |(good, sent): &Second| 100.0 * *good as f64 / (*sent).max(1) as f64;
    let points = seconds.iter().enumerate();
    let points = points.map(|(second, counts)| (second as f64, share(counts)));
    let ends = (seconds.len() as f64, 105.0);
    let names = ("seconds", "answered in time, percent");
    frame(file, ends, names, |chart| {
        let out = [(span as f64, 0.0), (2.0 * span as f64, ends.1)];
        let shade = Rectangle::new(out, BLACK.mix(0.08).filled());
        chart.draw_series([shade]).map_err(failed)?;
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(failed)?;
        Ok(())
    })
}

/// Draws replicas that serve over time, with the bound as a line.
pub fn replicas(file: &Path, served: &[(f64, usize)], bound: f64) -> Result<()> {
    let last = served.last().map_or(1.0, |(at, _)| *at).max(bound);
    let most = served.last().map_or(1, |(_, n)| *n) as f64;
    let ends = (last * 1.05, most * 1.05);
    frame(file, ends, ("seconds", "replicas complete"), |chart| {
        let points = served.iter().map(|(at, n)| (*at, *n as f64));
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(failed)?;
        let line = [(bound, 0.0), (bound, ends.1)];
        chart
            .draw_series(LineSeries::new(line, &RED))
            .map_err(failed)?;
        Ok(())
    })
}
