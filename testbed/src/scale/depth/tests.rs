use super::*;

fn rng() -> Pcg32 {
    stream(1, "test")
}

/// Without failures there is nothing to retry. Levels that lost or duplicated requests on their own would
/// distort the number of attempts at the leaf.
#[test]
fn healthy_tree_calls_leaf_once_per_request() {
    let (attempts, served) = simulate_decisions(5, 0.0, &mut rng()).expect("settings are valid");
    assert!((attempts - 1.0).abs() < 0.01 && served == 1.0, "{attempts} {served}");
    assert_eq!(simulate_budgets(vec![Budget::new(0.1)], 5, 0.0, &mut rng()), (1.0, 1.0));
}

/// A failure at the leaf has to reach the level above, which then retries. If it did not, the tree would
/// report a retry factor of 1.
#[test]
fn failing_leaf_is_retried() {
    let (attempts, served) = simulate_decisions(1, 0.1, &mut rng()).expect("settings are valid");
    assert!(attempts > 1.05 && served > 0.95, "{attempts} {served}");
    let (_, none) = simulate_decisions(3, 1.0, &mut rng()).expect("settings are valid");
    assert!(none < 0.01, "{none}");
}

/// Budgets of each level multiply to 1.15^8, while one budget of the whole tree gives 1.1. Other numbers mean
/// that a budget grants more or fewer retries than its share.
#[test]
fn level_budgets_multiply_tree_budget_does_not() {
    let budget_per_level = (0..8).map(|_| Budget::new(RETRY_SHARE)).collect();
    let (by_level, _) = simulate_budgets(budget_per_level, 8, 1.0, &mut rng());
    assert!((by_level / 1.15f64.powi(8) - 1.0).abs() < 0.02, "{by_level}");
    let (tree_budget, _) = simulate_budgets(vec![Budget::new(0.1)], 8, 1.0, &mut rng());
    assert!((tree_budget - 1.1).abs() < 0.01, "{tree_budget}");
}
