use super::*;
use crate::scale::Point;

fn run(seed: u64, figures: &[(f64, f64)]) -> Run {
    let point = |&(x, y): &(f64, f64)| Point { x, figures: [("memory_<kb>".to_owned(), y)].into() };
    Run {
        run: "some".to_owned(),
        axis: "watchers".to_owned(),
        seed,
        void: None,
        fixed: [("how".to_owned(), "a < b".to_owned())].into(),
        points: figures.iter().map(point).collect(),
    }
}

/// Each chart has the points of all seeds and the fitted line. Names with `<` are escaped; unescaped they
/// would be read as HTML tags and disappear from the page.
#[test]
fn chart_has_points_and_fitted_line() {
    let seeds =
        vec![run(1, &[(1.0, 2.0), (10.0, 20.0), (1000.0, 2000.0)]), run(2, &[(1.0, 2.0), (10.0, 20.0)])];
    let page = page(&[("some".to_owned(), seeds)].into()).expect("page renders");
    assert_eq!(page.matches("<circle").count(), 5);
    // The colour of the fitted line, which nothing else in the chart has.
    assert!(page.contains("stroke=\"#969696\""));
    assert!(page.contains("slope 2.000 +- ") && page.contains("Seeds 1, 2.") && page.contains("a &lt; b"));
    assert!(page.contains("watchers") && !page.contains("memory_<kb>"));
}

/// Figures without a fitted line (a single x value, no points, all 0, or a value that is not finite) still
/// have to render; an axis of width 0 or a NaN would make the drawing library fail.
#[test]
fn figures_without_fit_are_rendered() {
    for figures in
        [vec![(5.0, 1.0)], vec![], vec![(1.0, 0.0), (2.0, 0.0)], vec![(1.0, f64::NAN), (2.0, -3.0)]]
    {
        page(&[("some".to_owned(), vec![run(1, &figures)])].into()).expect("page renders");
    }
}

#[test]
fn wide_axis_is_logarithmic() {
    let axis = |values: [f64; 2]| Axis::over(values.into_iter(), true);
    assert!(axis([1.0, 1000.0]).log && !axis([0.0, 1000.0]).log && !axis([10.0, 90.0]).log);
    assert_eq!(axis([10.0, 90.0]).from, 0.0);
    let log_axis = axis([1.0, 1000.0]);
    assert!(
        log_axis.from < 0.0
            && log_axis.to > 3.0
            && (log_axis.value(log_axis.position(40.0)) - 40.0).abs() < 1e-9
    );
    assert_eq!([0.0, 0.01234, 12.3456, 123_456_789.0].map(format_value), ["0", "0.01234", "12.35", "1.23e8"]);
}
