//! All runs as one page of HTML that needs nothing else: each figure over its axis, seed by seed, with the line through
//! them.

use std::collections::{BTreeMap, BTreeSet};

use plotters::prelude::*;

use super::Run;
use super::fit::Fit;
use crate::html::escape;

const SIZE: (u32, u32) = (640, 300);
/// An axis that spans more than this is drawn by its logarithm.
const DECADES: f64 = 30.0;
/// One for each seed, over and over.
const COLOURS: [RGBColor; 3] = [RGBColor(30, 130, 60), RGBColor(220, 130, 20), RGBColor(40, 80, 200)];
const LINE: RGBColor = RGBColor(150, 150, 150);
/// Pieces of the line, which is bent where an axis is drawn by its logarithm.
const PIECES: usize = 80;

/// The page.
///
/// # Errors
/// Where a chart cannot be drawn.
pub fn page(runs: &BTreeMap<String, Vec<Run>>) -> Result<String, String> {
    let mut page = String::new();
    let mut say = |line: String| page.push_str(&(line + "\n"));
    say("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>Scale runs</title>".into());
    say("<style>body{font:15px sans-serif;max-width:1340px;margin:2em auto}td,th{padding:.15em .8em;text-align:left;\
         vertical-align:top}figure{display:inline-block;margin:.5em}</style><h1>Scale runs</h1>"
        .into());
    say("<p>Points are single runs, a colour for each seed; the grey line is the straight line of least squares through \
         all of them, also where an axis is drawn by its logarithm."
        .into());
    for (name, seeds) in runs {
        let Some(first) = seeds.first() else { continue };
        let numbers: Vec<String> = seeds.iter().map(|run| run.seed.to_string()).collect();
        say(format!("<h2 id=\"{0}\">{0}</h2><p>Seeds {1}.<table>", escape(name), numbers.join(", ")));
        for (what, value) in &first.fixed {
            say(format!("<tr><th>{}<td>{}", escape(what), escape(value)));
        }
        say("</table>".into());
        let points = seeds.iter().flat_map(|run| &run.points);
        let figures: BTreeSet<&String> = points.flat_map(|point| point.figures.keys()).collect();
        for figure in figures {
            let svg =
                chart(seeds, figure, &first.axis).map_err(|error| format!("{name}, {figure}: {error}"))?;
            let line =
                Fit::of_figure(seeds, figure).map_or("no line through these".to_owned(), |fit| told(&fit));
            say(format!("<figure>{svg}<figcaption>{}</figcaption></figure>", escape(&line)));
        }
    }
    Ok(page)
}

/// The line in words.
fn told(fit: &Fit) -> String {
    format!(
        "slope {} +- {}, at 0 {}, residual {}, {} points",
        short(fit.slope),
        short(fit.slope_error),
        short(fit.intercept),
        short(fit.residual),
        fit.points
    )
}

/// With as many digits as say something.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if (1e-3..1e5).contains(&size) => {
            let places = (3.0 - size.log10().floor()).clamp(0.0, 6.0) as usize;
            format!("{value:.places$}")
        }
        _ => format!("{value:.2e}"),
    }
}

/// An axis: what is drawn where.
struct Axis {
    log: bool,
    from: f64,
    to: f64,
}

impl Axis {
    fn over(values: impl Iterator<Item = f64> + Clone, from_0: bool) -> Axis {
        let least = values.clone().fold(f64::INFINITY, f64::min);
        let most = values.fold(f64::NEG_INFINITY, f64::max);
        let log = least > 0.0 && most / least > DECADES;
        let least = if from_0 && !log { least.min(0.0) } else { least };
        let mut axis = Axis { log, from: 0.0, to: 0.0 };
        let (from, to) = (axis.place(least), axis.place(most));
        let room = ((to - from) * 0.05).max(1e-9);
        // Nothing is below 0 but what has been measured there.
        axis.from = if !log && least == 0.0 { 0.0 } else { from - room };
        axis.to = to + room;
        axis
    }

    fn place(&self, value: f64) -> f64 {
        if self.log { value.log10() } else { value }
    }

    fn value(&self, place: f64) -> f64 {
        if self.log { 10f64.powf(place) } else { place }
    }
}

fn chart(seeds: &[Run], figure: &str, axis: &str) -> Result<String, Box<dyn std::error::Error>> {
    let of = |run: &Run| -> Vec<(f64, f64)> {
        let known = run.points.iter().filter_map(|point| Some((point.x, *point.figures.get(figure)?)));
        known.filter(|(x, y)| x.is_finite() && y.is_finite()).collect()
    };
    let points: Vec<Vec<(f64, f64)>> = seeds.iter().map(of).collect();
    if points.iter().all(Vec::is_empty) {
        return Ok(String::new());
    }
    let x = Axis::over(points.iter().flatten().map(|point| point.0), false);
    let y = Axis::over(points.iter().flatten().map(|point| point.1), true);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .caption(figure, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(40)
            .y_label_area_size(72)
            .build_cartesian_2d(x.from..x.to, y.from..y.to)?;
        chart
            .configure_mesh()
            .x_desc(axis)
            .x_label_formatter(&|place| short(x.value(*place)))
            .y_label_formatter(&|place| short(y.value(*place)))
            .light_line_style(WHITE)
            .draw()?;
        if let Some(fit) = Fit::of_figure(seeds, figure) {
            let places = (0..=PIECES).map(|n| x.from + (x.to - x.from) * n as f64 / PIECES as f64);
            let line = places.map(|place| (place, y.place(fit.at(x.value(place)))));
            let drawn = line.filter(|(_, y_at)| (y.from..=y.to).contains(y_at));
            chart.draw_series(LineSeries::new(drawn, LINE.stroke_width(2)))?;
        }
        for (points, colour) in points.iter().zip(COLOURS.iter().cycle()) {
            let places = points.iter().map(|point| (x.place(point.0), y.place(point.1)));
            chart.draw_series(places.map(|place| Circle::new(place, 3, colour.filled())))?;
        }
        area.present()?;
    }
    Ok(svg)
}

#[cfg(test)]
mod tests;
