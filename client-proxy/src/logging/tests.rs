use super::*;

/// A fault that concerns every request would otherwise cost a system call for each.
#[test]
fn lines_are_limited_per_second() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let taken = |budget: &mut LineBudget, now| (0..10_000).filter(|_| budget.take(now)).count();
    assert_eq!(taken(&mut budget, start), MAX_BURST as usize);
    assert_eq!(taken(&mut budget, start + Duration::from_secs(1)), MAX_LINES_PER_SECOND as usize);
}
