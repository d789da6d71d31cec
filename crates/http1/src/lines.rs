//! Rules for the lines of a message that the parser does not enforce.

use http::{HeaderName, HeaderValue};

/// Returns whether each line of a head ends with CR LF, and no other CR or LF occurs.
/// The parser also accepts LF alone, so that a field line which begins with LF would
/// count as the end of the head.
pub(crate) fn has_only_line_ends(head: &[u8]) -> bool {
    let mut previous = 0;
    for byte in head {
        if (previous == b'\r') != (*byte == b'\n') {
            return false;
        }
        previous = *byte;
    }
    previous != b'\r'
}

/// Returns whether a chunk-size line, without its CR LF, has a size and after it
/// nothing but chunk extensions. The parser accepts a line without digits as size 0,
/// which would end the body, and any byte in extensions.
pub(crate) fn is_chunk_line(line: &[u8]) -> bool {
    let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
    let digits = line.iter().take_while(|byte| is_digit(byte)).count();
    let (_, rest) = line.split_at(digits);
    let has_extension = rest.trim_ascii_start().first() == Some(&b';');
    digits > 0 && (rest.is_empty() || has_extension) && HeaderValue::from_bytes(rest).is_ok()
}

/// Returns whether a line of a trailer section, without its CR LF, is a field line.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    HeaderName::from_bytes(name).is_ok() && HeaderValue::from_bytes(value).is_ok()
}
