//! Renders all runs as one self-contained HTML page: a chart of each figure over its axis, with the points of
//! each seed and the fitted line.

use std::collections::{BTreeMap, BTreeSet};

use plotters::prelude::*;

use super::Run;
use super::fit::Fit;
use crate::html::escape;

const CHART_SIZE_PX: (u32, u32) = (640, 300);
/// An axis is logarithmic if the ratio of its largest to its smallest value exceeds this.
const LOG_SCALE_MIN_RATIO: f64 = 30.0;
/// Colours of the seeds, used cyclically.
const COLOURS: [RGBColor; 3] = [RGBColor(30, 130, 60), RGBColor(220, 130, 20), RGBColor(40, 80, 200)];
const LINE_COLOUR: RGBColor = RGBColor(150, 150, 150);
/// Number of segments of the fitted line, which is a curve on a logarithmic axis.
const LINE_SEGMENTS: usize = 80;

/// Renders the page.
///
/// # Errors
/// Returns an error if a chart cannot be drawn.
pub fn page(runs: &BTreeMap<String, Vec<Run>>) -> Result<String, String> {
    let mut page = String::new();
    let mut push_line = |line: String| page.push_str(&(line + "\n"));
    push_line("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>Scale runs</title>".into());
    push_line("<style>body{font:15px sans-serif;max-width:1340px;margin:2em auto}td,th{padding:.15em .8em;text-align:left;\
         vertical-align:top}figure{display:inline-block;margin:.5em}</style><h1>Scale runs</h1>"
        .into());
    push_line("<p>Points are single runs, a colour for each seed; the grey line is the straight line of least squares through \
         all of them, also where an axis is drawn by its logarithm."
        .into());
    for (name, seeds) in runs {
        let Some(first) = seeds.first() else { continue };
        let seed_numbers: Vec<String> = seeds.iter().map(|run| run.seed.to_string()).collect();
        push_line(format!(
            "<h2 id=\"{0}\">{0}</h2><p>Seeds {1}.<table>",
            escape(name),
            seed_numbers.join(", ")
        ));
        for (what, value) in &first.fixed {
            push_line(format!("<tr><th>{}<td>{}", escape(what), escape(value)));
        }
        push_line("</table>".into());
        let points = seeds.iter().flat_map(|run| &run.points);
        let figures: BTreeSet<&String> = points.flat_map(|point| point.figures.keys()).collect();
        for figure in figures {
            let svg =
                chart(seeds, figure, &first.axis).map_err(|error| format!("{name}, {figure}: {error}"))?;
            let line = Fit::of_figure(seeds, figure)
                .map_or("no line through these".to_owned(), |fit| describe_fit(&fit));
            push_line(format!("<figure>{svg}<figcaption>{}</figcaption></figure>", escape(&line)));
        }
    }
    Ok(page)
}

/// Describes a fitted line in a caption.
fn describe_fit(fit: &Fit) -> String {
    format!(
        "slope {} +- {}, at 0 {}, residual {}, {} points",
        format_value(fit.slope),
        format_value(fit.slope_error),
        format_value(fit.intercept),
        format_value(fit.residual),
        fit.points
    )
}

/// Formats a value with four significant digits, or in scientific notation if it is very small or large.
fn format_value(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if (1e-3..1e5).contains(&size) => {
            let decimals = (3.0 - size.log10().floor()).clamp(0.0, 6.0) as usize;
            format!("{value:.decimals$}")
        }
        _ => format!("{value:.2e}"),
    }
}

/// The scale of an axis, and its range in positions, which are logarithms if `log` is set.
struct Axis {
    log: bool,
    from: f64,
    to: f64,
}

impl Axis {
    fn over(values: impl Iterator<Item = f64> + Clone, include_zero: bool) -> Axis {
        let min = values.clone().fold(f64::INFINITY, f64::min);
        let max = values.fold(f64::NEG_INFINITY, f64::max);
        let log = min > 0.0 && max / min > LOG_SCALE_MIN_RATIO;
        let min = if include_zero && !log { min.min(0.0) } else { min };
        let mut axis = Axis { log, from: 0.0, to: 0.0 };
        let (from, to) = (axis.position(min), axis.position(max));
        let margin = ((to - from) * 0.05).max(1e-9);
        // No margin below 0: negative positions are drawn only if negative values were measured.
        axis.from = if !log && min == 0.0 { 0.0 } else { from - margin };
        axis.to = to + margin;
        axis
    }

    fn position(&self, value: f64) -> f64 {
        if self.log { value.log10() } else { value }
    }

    fn value(&self, position: f64) -> f64 {
        if self.log { 10f64.powf(position) } else { position }
    }
}

fn chart(seeds: &[Run], figure: &str, axis: &str) -> Result<String, Box<dyn std::error::Error>> {
    let finite_points = |run: &Run| -> Vec<(f64, f64)> {
        let figure_points =
            run.points.iter().filter_map(|point| Some((point.x, *point.figures.get(figure)?)));
        figure_points.filter(|(x, y)| x.is_finite() && y.is_finite()).collect()
    };
    let points: Vec<Vec<(f64, f64)>> = seeds.iter().map(finite_points).collect();
    if points.iter().all(Vec::is_empty) {
        return Ok(String::new());
    }
    let x = Axis::over(points.iter().flatten().map(|point| point.0), false);
    let y = Axis::over(points.iter().flatten().map(|point| point.1), true);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE_PX).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .caption(figure, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(40)
            .y_label_area_size(72)
            .build_cartesian_2d(x.from..x.to, y.from..y.to)?;
        chart
            .configure_mesh()
            .x_desc(axis)
            .x_label_formatter(&|position| format_value(x.value(*position)))
            .y_label_formatter(&|position| format_value(y.value(*position)))
            .light_line_style(WHITE)
            .draw()?;
        if let Some(fit) = Fit::of_figure(seeds, figure) {
            let positions =
                (0..=LINE_SEGMENTS).map(|n| x.from + (x.to - x.from) * n as f64 / LINE_SEGMENTS as f64);
            let line = positions.map(|position| (position, y.position(fit.at(x.value(position)))));
            let visible_line = line.filter(|(_, y_at)| (y.from..=y.to).contains(y_at));
            chart.draw_series(LineSeries::new(visible_line, LINE_COLOUR.stroke_width(2)))?;
        }
        for (points, colour) in points.iter().zip(COLOURS.iter().cycle()) {
            let positions = points.iter().map(|point| (x.position(point.0), y.position(point.1)));
            chart.draw_series(positions.map(|position| Circle::new(position, 3, colour.filled())))?;
        }
        area.present()?;
    }
    Ok(svg)
}

#[cfg(test)]
mod tests;
