//! Conversions between counts and shares.

/// `part` of `whole`; 0 when `whole` is 0.
pub(crate) fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    count(part) / count(whole)
}

/// A count as a floating-point number, saturating at `u32::MAX`.
pub(crate) fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
