//! Output of figures as a plot.

use anyhow::{Result, anyhow};
use fescuerack_core::num::float;
use plotters::prelude::*;

use crate::Figures;
use crate::figures::to_f64;

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (960, 640);

/// Draws the answers in time and the mean time to the first token as SVG, with a line per stream and
/// a point per second.
///
/// # Errors
///
/// Returns an error when the plot cannot be drawn.
pub fn plot(figures: &Figures) -> Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        root.fill(&WHITE).map_err(|error| anyhow!("{error}"))?;
        let (upper, lower) = root.split_vertically(SIZE_PX.1 / 2);
        let good_lines = lines(figures, |second, stream| {
            to_f64(figures.good_by_second[second][stream])
        });
        draw(&upper, "answers in time a second", figures, &good_lines)?;
        let first_token_lines = lines(figures, |second, stream| {
            let (sum, count) = figures.first_tokens_by_second[second][stream];
            to_f64(sum) / to_f64(count.max(1)) / 1000.0
        });
        draw(&lower, "mean first token, ms", figures, &first_token_lines)?;
        root.present().map_err(|error| anyhow!("{error}"))?;
    }
    Ok(svg)
}

fn lines(figures: &Figures, value: impl Fn(usize, usize) -> f64) -> Vec<Vec<(f64, f64)>> {
    let seconds = 0..figures.good_by_second.len();
    let line = |stream| {
        let points = seconds.clone();
        points
            .map(|second| (float(second), value(second, stream)))
            .collect()
    };
    (0..figures.rows.len()).map(line).collect()
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    figures: &Figures,
    lines: &[Vec<(f64, f64)>],
) -> Result<()> {
    let points = lines.iter().flatten();
    let max = points.map(|(_, value)| *value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..float(figures.good_by_second.len()), 0.0..max * 1.05)
        .map_err(|error| anyhow!("{error}"))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("second")
        .draw()
        .map_err(|error| anyhow!("{error}"))?;
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.iter().copied(), colour);
        let drawn = chart
            .draw_series(series)
            .map_err(|error| anyhow!("{error}"))?;
        drawn
            .label(figures.rows[index].name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| anyhow!("{error}"))?;
    Ok(())
}
