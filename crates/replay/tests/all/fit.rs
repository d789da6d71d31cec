//! Least-squares fit: exact and noisy points, a single size, and no points.

use carobdrift_replay::slopes::Line;

fn assert_close(found: f64, expected: f64) {
    assert!(
        (found - expected).abs() < 1e-9,
        "found {found}, expected {expected}"
    );
}

#[test]
fn points_on_a_line_are_fitted_without_residual() {
    let points = [(1.0, 5.0), (2.0, 7.0), (5.0, 13.0)];

    let line = Line::fit(&points);

    assert_close(line.slope, 2.0);
    assert_close(line.intercept, 3.0);
    assert_close(line.residual, 0.0);
}

#[test]
fn noise_changes_the_residual_and_not_the_slope() {
    // 2x + 3 with errors whose mean and trend are 0.
    let points = [(0.0, 4.0), (1.0, 4.0), (2.0, 6.0), (3.0, 10.0)];

    let line = Line::fit(&points);

    assert_close(line.slope, 2.0);
    assert_close(line.intercept, 3.0);
    assert_close(line.residual, 1.0);
}

#[test]
fn single_size_gives_a_slope_of_zero() {
    let single = Line::fit(&[(4.0, 9.0)]);
    let repeated = Line::fit(&[(4.0, 8.0), (4.0, 10.0)]);

    assert_close(single.slope, 0.0);
    assert_close(single.intercept, 9.0);
    assert_close(single.residual, 0.0);
    assert_close(repeated.slope, 0.0);
    assert_close(repeated.intercept, 9.0);
    assert_close(repeated.residual, 1.0);
}

#[test]
fn no_points_give_zeros_instead_of_nan() {
    let line = Line::fit(&[]);

    assert_close(line.slope, 0.0);
    assert_close(line.intercept, 0.0);
    assert_close(line.residual, 0.0);
}
