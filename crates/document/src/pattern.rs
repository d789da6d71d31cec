//! Path patterns: their form, and how they match.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;

/// Longest pattern, in bytes.
const PATTERN_LIMIT: usize = 512;

/// What is wrong with a pattern, if anything.
pub(crate) fn examine(pattern: &str) -> Option<String> {
    if pattern.len() > PATTERN_LIMIT {
        return Some(format!("must be at most {PATTERN_LIMIT} bytes long"));
    }
    let Some(rest) = pattern.strip_prefix('/') else {
        return Some("must start with \"/\"".to_owned());
    };
    let forbidden =
        |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#' | '%' | '\\');
    if let Some(found) = rest.chars().find(|c| forbidden(*c)) {
        return Some(format!(
            "must not contain {found:?}; segments are compared after decoding"
        ));
    }
    let segments: Vec<&str> = rest.split('/').collect();
    for (index, segment) in segments.iter().enumerate() {
        let last = index + 1 == segments.len();
        match *segment {
            "" if !last => return Some("must not have an empty segment".to_owned()),
            "." | ".." => return Some(format!("must not have the segment {segment:?}")),
            "**" if !last => return Some("may have \"**\" as its last segment only".to_owned()),
            "*" | "**" => {}
            other if other.contains('*') => {
                return Some(format!(
                    "may have \"*\" as a whole segment only, not in {other:?}"
                ));
            }
            _ => {}
        }
    }
    None
}

/// Splits the path of a request into decoded segments.
///
/// Returns `None` for a path with an empty inner segment or a dot segment. A
/// target that normalizes such a path would run another route than the one
/// that was matched here, possibly a non-idempotent one.
pub(crate) fn segments(path: &str) -> Option<Vec<Cow<'_, str>>> {
    let mut segments = Vec::new();
    let mut rest = path.strip_prefix('/')?.split('/').peekable();
    while let Some(raw) = rest.next() {
        let segment = percent_decode_str(raw).decode_utf8_lossy();
        let inner = rest.peek().is_some();
        if segment == "." || segment == ".." || (inner && segment.is_empty()) {
            return None;
        }
        segments.push(segment);
    }
    Some(segments)
}

/// Whether a pattern takes a path, given as segments.
pub(crate) fn matches(pattern: &str, path: &[Cow<'_, str>]) -> bool {
    let mut found = path.iter();
    for expected in pattern.trim_start_matches('/').split('/') {
        if expected == "**" {
            return true;
        }
        match found.next() {
            Some(segment) if expected == "*" && !segment.is_empty() => {}
            Some(segment) if expected == segment => {}
            _ => return false,
        }
    }
    found.next().is_none()
}

/// Rank of a pattern among those that match the same path; the greatest wins.
pub(crate) fn specificity(pattern: &str) -> impl Ord {
    pattern
        .trim_start_matches('/')
        .split('/')
        .map(|segment| match segment {
            "**" => 0,
            "*" => 1,
            _ => 2,
        })
        .collect::<Vec<u8>>()
}
