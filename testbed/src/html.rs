//! The report of a run as one self-contained HTML page: figures, faults, and charts over time.

use plotters::prelude::*;

use crate::ledger::Second;
use crate::run::Report;

const SIZE: (u32, u32) = (960, 240);

/// A line of a chart: its label, its colour, and its value for a second.
type Line = (&'static str, RGBColor, fn(&Second) -> f64);

const GREEN: RGBColor = RGBColor(30, 130, 60);
const ORANGE: RGBColor = RGBColor(220, 130, 20);

/// The charts: title and lines of each.
const CHARTS: [(&str, &[Line]); 4] = [
    (
        "Requests per second",
        &[
            ("sent", BLACK, |second| second.asked as f64),
            ("served", GREEN, |second| second.served as f64),
            ("rejected", ORANGE, |second| second.refused as f64),
            ("failed", RED, |second| second.failed as f64),
        ],
    ),
    (
        "Share of priority weight served within the latency objective",
        &[("served weight", GREEN, |second| second.weighted_served_share)],
    ),
    (
        "Latency of served requests, ms",
        &[
            ("p50", GREEN, |second| second.latency_us[0] as f64 / 1e3),
            ("p99", RED, |second| second.latency_us[1] as f64 / 1e3),
        ],
    ),
    (
        "Share of attempts to another zone",
        &[("cross-zone", BLUE, |second| second.attempts[1] as f64 / second.attempts[0].max(1) as f64)],
    ),
];

/// Renders the report as an HTML page.
///
/// # Errors
/// If a chart cannot be drawn.
pub fn page(report: &Report) -> Result<String, String> {
    let Report { scenario, seed, figures, .. } = report;
    let mut page = String::new();
    let mut add_line = |line: String| page.push_str(&(line + "\n"));
    let title = escape(&format!("{scenario}, seed {seed}"));
    add_line(format!("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>"));
    add_line("<style>body{font:15px sans-serif;max-width:980px;margin:2em auto}td,th{padding:.15em .8em;text-align:left}\
         .bad{color:#b00}</style>"
        .into());
    add_line(format!("<h1>{title}</h1>"));
    let verdict = match (report.void, report.passed()) {
        (true, _) => "void: the testbed sent requests too late",
        (false, true) => "passed",
        (false, false) => "failed",
    };
    add_line(format!("<p>{verdict}. {} requests counted.</p><table>", figures.requests));
    let [p50, p99, p999] = figures.latency_us.map(|us| us as f64 / 1e3);
    for (name, value) in [
        ("served", format!("{:.4}", figures.served_share)),
        ("priority weight served within the latency objective", format!("{:.4}", figures.worth_share)),
        ("worst second", format!("{:.3}", figures.worst_window)),
        ("latency p50, p99, p999", format!("{p50:.2}, {p99:.2}, {p999:.2} ms")),
        ("attempts per try", format!("{:.3}", figures.attempts_per_request)),
        ("attempts to another zone", format!("{:.3}", figures.cross_zone_share)),
        ("sending delay of the testbed", format!("{:.2} ms (p99)", figures.testbed_late_us as f64 / 1e3)),
    ] {
        add_line(format!("<tr><th>{name}<td>{value}"));
    }
    add_line("</table><h2>Rules</h2><table>".into());
    for (rule, breaks) in &figures.rules {
        let class = if *breaks > 0 { " class=bad" } else { "" };
        add_line(format!("<tr{class}><th>{}<td>{breaks}", escape(rule)));
    }
    add_line("</table>".into());
    figures
        .breaks
        .iter()
        .chain(&report.missed)
        .for_each(|message| add_line(format!("<p class=bad>{}", escape(message))));
    if !figures.recovery_ms.is_empty() {
        add_line("<h2>Faults</h2><table><tr><th>time<th>fault<th>served share recovered after".into());
    }
    for fault in &figures.recovery_ms {
        let after = fault.ms.map_or("not recovered".to_owned(), |ms| format!("{ms} ms"));
        add_line(format!("<tr><td>{:.1} s<td>{}<td>{after}", fault.at_s, escape(&fault.fault)));
    }
    add_line("</table><h2>Over time</h2>".into());
    for (title, lines) in CHARTS {
        add_line(chart(report, title, lines)?);
    }
    Ok(page)
}

/// Escapes text for HTML.
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn chart(report: &Report, title: &str, lines: &[Line]) -> Result<String, String> {
    let mut svg = String::new();
    draw(report, title, lines, &mut svg).map_err(|error| format!("{title}: {error}"))?;
    Ok(svg)
}

fn draw(
    report: &Report,
    title: &str,
    lines: &[Line],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let (seconds, faults) = (&report.figures.seconds, &report.figures.recovery_ms);
    let values = lines.iter().flat_map(|(_, _, value_of)| seconds.iter().map(value_of));
    let y_max = values.fold(0.0, f64::max).max(1e-3) * 1.1;
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..y_max)?;
    chart.configure_mesh().disable_x_mesh().light_line_style(WHITE).draw()?;
    for fault in faults {
        let mark = [(fault.at_s, 0.0), (fault.at_s, y_max)];
        chart.draw_series(LineSeries::new(mark, RGBColor(190, 190, 190)))?;
    }
    for (name, colour, value_of) in lines {
        let points = seconds.iter().map(|second| (second.at as f64 + 0.5, value_of(second)));
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        series.label(*name).legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}

/// The file name of the page.
pub fn file_name(report: &Report) -> String {
    let name = format!("{}-{}.html", report.scenario, report.seed);
    name.replace(|c: char| !c.is_ascii_alphanumeric() && !"-.".contains(c), "_")
}
