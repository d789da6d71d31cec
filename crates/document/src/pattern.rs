//! Syntax and matching of path patterns.

use std::borrow::Cow;

use percent_encoding::percent_decode_str;

/// Length limit of a pattern.
const MAX_PATTERN_BYTES: usize = 512;

/// Returns the problem of an invalid pattern, or `None` for a valid one.
pub(crate) fn problem(pattern: &str) -> Option<String> {
    if pattern.len() > MAX_PATTERN_BYTES {
        return Some(format!("must be at most {MAX_PATTERN_BYTES} bytes long"));
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
/// target that normalizes such a path would serve another route than the one
/// matched here, possibly a non-idempotent one.
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

/// Whether a pattern matches a path, given as decoded segments.
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

/// Returns the specificity of a pattern; of the patterns that match a path, the
/// one with the greatest specificity applies.
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
