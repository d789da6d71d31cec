//! Guards against slopes that the measured points do not have.

use carobdrift_replay::slopes::Line;

fn assert_close(found: f64, expected: f64) {
    assert!(
        (found - expected).abs() < 1e-9,
        "found {found}, expected {expected}"
    );
}

#[test]
fn exact_line_is_found_without_residual() {
    let points = [(1.0, 5.0), (2.0, 7.0), (5.0, 13.0)];

    let line = Line::fit(&points);

    assert_close(line.slope, 2.0);
    assert_close(line.intercept, 3.0);
    assert_close(line.residual, 0.0);
}

#[test]
fn noise_shows_in_the_residual_and_not_in_the_slope() {
    // 2x + 3 with errors that have no mean and no trend.
    let points = [(0.0, 4.0), (1.0, 4.0), (2.0, 6.0), (3.0, 10.0)];

    let line = Line::fit(&points);

    assert_close(line.slope, 2.0);
    assert_close(line.intercept, 3.0);
    assert_close(line.residual, 1.0);
}

#[test]
fn one_size_gives_a_level_line() {
    let one = Line::fit(&[(4.0, 9.0)]);
    let repeated = Line::fit(&[(4.0, 8.0), (4.0, 10.0)]);

    assert_close(one.slope, 0.0);
    assert_close(one.intercept, 9.0);
    assert_close(one.residual, 0.0);
    assert_close(repeated.slope, 0.0);
    assert_close(repeated.intercept, 9.0);
    assert_close(repeated.residual, 1.0);
}

#[test]
fn no_point_gives_zero_and_no_undefined_number() {
    let line = Line::fit(&[]);

    assert_close(line.slope, 0.0);
    assert_close(line.intercept, 0.0);
    assert_close(line.residual, 0.0);
}
