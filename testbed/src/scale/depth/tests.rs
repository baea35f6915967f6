use super::*;

fn rng() -> Pcg32 {
    stream(1, "test")
}

/// Guards against a tree whose levels lose or double requests by themselves.
#[test]
fn a_sound_tree_calls_the_leaf_once_for_each_request() {
    let (attempts, served) = decided(5, 0.0, &mut rng()).expect("usable");
    assert!((attempts - 1.0).abs() < 0.01 && served == 1.0, "{attempts} {served}");
    assert_eq!(ruled(vec![Budget::new(0.1)], 5, 0.0, &mut rng()), (1.0, 1.0));
}

/// Guards against a failure that the level above does not see, and against repeats that nobody makes.
#[test]
fn a_leaf_that_fails_is_tried_again() {
    let (attempts, served) = decided(1, 0.1, &mut rng()).expect("usable");
    assert!(attempts > 1.05 && served > 0.95, "{attempts} {served}");
    let (_, none) = decided(3, 1.0, &mut rng()).expect("usable");
    assert!(none < 0.01, "{none}");
}

/// Guards against budgets that hold another share than they say: by level they multiply, over the tree they do not.
#[test]
fn budgets_multiply_by_level_and_not_over_the_tree() {
    let each = (0..8).map(|_| Budget::new(SHARE)).collect();
    let (by_level, _) = ruled(each, 8, 1.0, &mut rng());
    assert!((by_level / 1.15f64.powi(8) - 1.0).abs() < 0.02, "{by_level}");
    let (over_tree, _) = ruled(vec![Budget::new(0.1)], 8, 1.0, &mut rng());
    assert!((over_tree - 1.1).abs() < 0.01, "{over_tree}");
}
