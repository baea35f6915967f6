use super::*;

/// Guards against chance taken for progress, and progress for chance.
#[test]
fn a_difference_counts_when_it_is_beyond_chance() {
    assert_eq!(verdict(&[0.01, 0.012, 0.011], true), Verdict::Better);
    assert_eq!(verdict(&[0.01, 0.012, 0.011], false), Verdict::Worse);
    assert_eq!(verdict(&[0.03, -0.01, 0.02], true), Verdict::Noise);
    assert_eq!(verdict(&[0.0; 5], true), Verdict::Noise);
    assert_eq!(verdict(&[0.5], true), Verdict::Noise, "one play says nothing");
    // 3 values, mean 1, deviation 0.4: t is 4.33, just beyond the 4.303 of two degrees of freedom.
    assert_eq!(verdict(&[0.6, 1.0, 1.4], true), Verdict::Better);
    assert_eq!(verdict(&[0.59, 1.0, 1.41], true), Verdict::Noise);
}
