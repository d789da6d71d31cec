//! Conversions of counts to floating-point numbers.

/// Returns `part / whole`; 0 when `whole` is 0.
pub(crate) fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    to_f64(part) / to_f64(whole)
}

/// Converts a count to a floating-point number, saturating at `u32::MAX`.
pub(crate) fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
