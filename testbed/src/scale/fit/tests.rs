use super::*;

/// Guards against a slope that looks exact: points on a line have no error, points off it have the textbook's.
#[test]
fn a_line_is_found_and_what_lies_beside_it_is_its_error() {
    let exact = Fit::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).expect("a line");
    assert_eq!((exact.intercept, exact.slope, exact.slope_error, exact.residual), (1.0, 2.0, 0.0, 0.0));
    assert_eq!(exact.at(10.0), 21.0);
    let off = Fit::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]).expect("a line");
    // By hand: slope 4/5, residual sum of squares 1.8, so its error is sqrt(1.8 / 2 / 5).
    assert!((off.slope - 0.8).abs() < 1e-12 && (off.slope_error - 0.18f64.sqrt()).abs() < 1e-12, "{off:?}");
}

/// Guards against a slope from one place on the axis.
#[test]
fn one_place_has_no_slope() {
    assert_eq!(Fit::through(&[]), None);
    assert_eq!(Fit::through(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(Fit::through(&[(1.0, 2.0), (2.0, f64::NAN)]), None);
}
