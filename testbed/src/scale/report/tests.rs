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

/// Guards against a page that leaves out a seed or the line, or takes a name for its own marks.
#[test]
fn each_figure_is_drawn_with_its_points_and_its_line() {
    let seeds =
        vec![run(1, &[(1.0, 2.0), (10.0, 20.0), (1000.0, 2000.0)]), run(2, &[(1.0, 2.0), (10.0, 20.0)])];
    let page = page(&[("some".to_owned(), seeds)].into()).expect("drawn");
    assert_eq!(page.matches("<circle").count(), 5);
    // What the axes are drawn with is grey of another kind.
    assert!(page.contains("stroke=\"#969696\""));
    assert!(page.contains("slope 2.000 +- ") && page.contains("Seeds 1, 2.") && page.contains("a &lt; b"));
    assert!(page.contains("watchers") && !page.contains("memory_<kb>"));
}

/// Guards against charts of what has no line: one place, nothing at all, or nothing but 0.
#[test]
fn what_has_no_line_is_drawn_without() {
    for figures in
        [vec![(5.0, 1.0)], vec![], vec![(1.0, 0.0), (2.0, 0.0)], vec![(1.0, f64::NAN), (2.0, -3.0)]]
    {
        page(&[("some".to_owned(), vec![run(1, &figures)])].into()).expect("drawn");
    }
}

#[test]
fn an_axis_over_decades_is_drawn_by_its_logarithm() {
    let axis = |values: [f64; 2]| Axis::over(values.into_iter(), true);
    assert!(axis([1.0, 1000.0]).log && !axis([0.0, 1000.0]).log && !axis([10.0, 90.0]).log);
    assert_eq!(axis([10.0, 90.0]).from, 0.0);
    let wide = axis([1.0, 1000.0]);
    assert!(wide.from < 0.0 && wide.to > 3.0 && (wide.value(wide.place(40.0)) - 40.0).abs() < 1e-9);
    assert_eq!([0.0, 0.01234, 12.3456, 123_456_789.0].map(short), ["0", "0.01234", "12.35", "1.23e8"]);
}
