use super::*;

/// Points on a line have no error, others the textbook's standard error. Without it a slope would look exact,
/// and a difference within noise would be taken for a real one.
#[test]
fn slope_error_follows_from_residuals() {
    let exact = Fit::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).expect("points have a fit");
    assert_eq!((exact.intercept, exact.slope, exact.slope_error, exact.residual), (1.0, 2.0, 0.0, 0.0));
    assert_eq!(exact.at(10.0), 21.0);
    let noisy = Fit::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]).expect("points have a fit");
    // Expected values: slope 4/5, residual sum of squares 1.8, so the slope's error is sqrt(1.8 / 2 / 5).
    assert!(
        (noisy.slope - 0.8).abs() < 1e-12 && (noisy.slope_error - 0.18f64.sqrt()).abs() < 1e-12,
        "{noisy:?}"
    );
}

/// A single value of `x` leaves the slope undefined (0 / 0), and so does a figure that is not finite.
#[test]
fn single_x_value_has_no_fit() {
    assert_eq!(Fit::through(&[]), None);
    assert_eq!(Fit::through(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(Fit::through(&[(1.0, 2.0), (2.0, f64::NAN)]), None);
}
