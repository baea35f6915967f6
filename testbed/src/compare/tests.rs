use super::*;

/// With a wrong threshold, random variation would be reported as an improvement, or a real one as noise.
#[test]
fn only_significant_differences_count() {
    assert_eq!(verdict(&[0.01, 0.012, 0.011], true), Verdict::Better);
    assert_eq!(verdict(&[0.01, 0.012, 0.011], false), Verdict::Worse);
    assert_eq!(verdict(&[0.03, -0.01, 0.02], true), Verdict::Noise);
    assert_eq!(verdict(&[0.0; 5], true), Verdict::Noise);
    assert_eq!(verdict(&[0.5], true), Verdict::Noise, "no variance from one pair of runs");
    // 3 values, mean 1, deviation 0.4: t is 4.33, just beyond the 4.303 of two degrees of freedom.
    assert_eq!(verdict(&[0.6, 1.0, 1.4], true), Verdict::Better);
    assert_eq!(verdict(&[0.59, 1.0, 1.41], true), Verdict::Noise);
}
