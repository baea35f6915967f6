//! A play as one page of HTML that needs nothing else: figures, faults, and what happened over time.

use plotters::prelude::*;

use crate::ledger::Second;
use crate::run::Report;

const SIZE: (u32, u32) = (960, 240);

/// Something that is drawn over time: its name, its colour, and its value in a second.
type Line = (&'static str, RGBColor, fn(&Second) -> f64);

const GREEN: RGBColor = RGBColor(30, 130, 60);
const ORANGE: RGBColor = RGBColor(220, 130, 20);

/// What is drawn, a chart each: the title and the lines.
const CHARTS: [(&str, &[Line]); 4] = [
    (
        "Requests a second",
        &[
            ("asked", BLACK, |second| second.asked as f64),
            ("served", GREEN, |second| second.served as f64),
            ("refused", ORANGE, |second| second.refused as f64),
            ("failed", RED, |second| second.failed as f64),
        ],
    ),
    ("Worth served within the aim", &[("worth", GREEN, |second| second.weighted_served_share)]),
    (
        "Latency of what was served, ms",
        &[
            ("p50", GREEN, |second| second.latency_us[0] as f64 / 1e3),
            ("p99", RED, |second| second.latency_us[1] as f64 / 1e3),
        ],
    ),
    (
        "Part of the attempts to another zone",
        &[("cross-zone", BLUE, |second| second.attempts[1] as f64 / second.attempts[0].max(1) as f64)],
    ),
];

/// The page.
///
/// # Errors
/// Where a chart cannot be drawn.
pub fn page(report: &Report) -> Result<String, String> {
    let Report { scenario, seed, figures, .. } = report;
    let mut page = String::new();
    let mut say = |line: String| page.push_str(&(line + "\n"));
    let title = escape(&format!("{scenario}, seed {seed}"));
    say(format!("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>"));
    say("<style>body{font:15px sans-serif;max-width:980px;margin:2em auto}td,th{padding:.15em .8em;text-align:left}\
         .bad{color:#b00}</style>"
        .into());
    say(format!("<h1>{title}</h1>"));
    let verdict = match (report.void, report.passed()) {
        (true, _) => "void: the testbed was late",
        (false, true) => "passed",
        (false, false) => "failed",
    };
    say(format!("<p>{verdict}. {} requests counted.</p><table>", figures.requests));
    let [p50, p99, p999] = figures.latency_us.map(|us| us as f64 / 1e3);
    for (name, value) in [
        ("served", format!("{:.4}", figures.served_share)),
        ("worth served within the aim", format!("{:.4}", figures.worth_share)),
        ("worst second", format!("{:.3}", figures.worst_window)),
        ("latency p50, p99, p999", format!("{p50:.2}, {p99:.2}, {p999:.2} ms")),
        ("attempts for each try", format!("{:.3}", figures.attempts_per_request)),
        ("attempts to another zone", format!("{:.3}", figures.cross_zone_share)),
        ("the testbed was late by", format!("{:.2} ms (p99)", figures.testbed_late_us as f64 / 1e3)),
    ] {
        say(format!("<tr><th>{name}<td>{value}"));
    }
    say("</table><h2>Rules</h2><table>".into());
    for (rule, breaks) in &figures.rules {
        let class = if *breaks > 0 { " class=bad" } else { "" };
        say(format!("<tr{class}><th>{}<td>{breaks}", escape(rule)));
    }
    say("</table>".into());
    figures
        .breaks
        .iter()
        .chain(&report.missed)
        .for_each(|said| say(format!("<p class=bad>{}", escape(said))));
    if !figures.recovery_ms.is_empty() {
        say("<h2>Faults</h2><table><tr><th>at<th>what<th>as much served as before after".into());
    }
    for fault in &figures.recovery_ms {
        let after = fault.ms.map_or("not again".to_owned(), |ms| format!("{ms} ms"));
        say(format!("<tr><td>{:.1} s<td>{}<td>{after}", fault.at_s, escape(&fault.fault)));
    }
    say("</table><h2>Over time</h2>".into());
    for (title, lines) in CHARTS {
        say(chart(report, title, lines)?);
    }
    Ok(page)
}

/// Text as HTML has it.
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
    let values = lines.iter().flat_map(|(_, _, of)| seconds.iter().map(of));
    let top = values.fold(0.0, f64::max).max(1e-3) * 1.1;
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..top)?;
    chart.configure_mesh().disable_x_mesh().light_line_style(WHITE).draw()?;
    for fault in faults {
        let mark = [(fault.at_s, 0.0), (fault.at_s, top)];
        chart.draw_series(LineSeries::new(mark, RGBColor(190, 190, 190)))?;
    }
    for (name, colour, of) in lines {
        let points = seconds.iter().map(|second| (second.at as f64 + 0.5, of(second)));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn.label(*name).legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}

/// What the page's file is called.
pub fn file_name(report: &Report) -> String {
    let name = format!("{}-{}.html", report.scenario, report.seed);
    name.replace(|c: char| !c.is_ascii_alphanumeric() && !"-.".contains(c), "_")
}
