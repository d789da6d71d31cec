//! Second reading of responses, by which accepted responses are checked. It reads the
//! whole input at once and shares no code with the reader.

/// Largest body that the reader of the tests accepts, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Returns the status and body of the response to a GET request that the input begins
/// with, if it is complete and well-formed. `closed` states whether the input ends with
/// an orderly close.
pub(crate) fn read(mut input: &[u8], closed: bool) -> Option<(u16, Vec<u8>)> {
    for _ in 0..=16 {
        let end = input.windows(4).position(|end| end == b"\r\n\r\n")?;
        let (status, framing) = read_head(&input[..end])?;
        input = &input[end + 4..];
        if status >= 200 {
            let body = match framing {
                _ if status == 204 || status == 304 => Some(Vec::new()),
                Framing::Length(length) => {
                    Some(input.get(..usize::try_from(length).ok()?)?.to_vec())
                }
                Framing::Chunked => read_chunks(input),
                Framing::Close => closed.then(|| input.to_vec()),
            };
            let body = body.filter(|body| body.len() <= MAX_BODY_BYTES);
            return Some((status, body?));
        }
    }
    None
}

enum Framing {
    Length(u64),
    Chunked,
    Close,
}

/// Reads a head without the empty line at its end.
fn read_head(head: &[u8]) -> Option<(u16, Framing)> {
    let mut lines = split_lines(head).into_iter();
    let line = lines.next()?;
    let http11 = line.starts_with(b"HTTP/1.1 ");
    let code = line.get(9..12)?;
    let reason = line.get(12..)?;
    let is_valid = (http11 || line.starts_with(b"HTTP/1.0 "))
        && code.iter().all(u8::is_ascii_digit)
        && (reason.is_empty() || reason[0] == b' ')
        && is_text(reason);
    let status: u16 = std::str::from_utf8(code).ok()?.parse().ok()?;
    if !is_valid || !(100..600).contains(&status) || status == 101 {
        return None;
    }
    let (mut lengths, mut codings, mut count) = (Vec::new(), Vec::new(), 0);
    for line in lines {
        let (name, value) = read_field(line)?;
        count += 1;
        match name.as_str() {
            "content-length" => lengths.push(value),
            "transfer-encoding" => codings.push(value),
            _ => {}
        }
    }
    let framing = match (&lengths[..], &codings[..]) {
        ([], []) => Framing::Close,
        ([length], []) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            Framing::Length(length.parse().ok()?)
        }
        ([], [coding]) if http11 && coding.eq_ignore_ascii_case("chunked") => Framing::Chunked,
        _ => return None,
    };
    (count <= 128).then_some((status, framing))
}

/// Reads a field line; returns the name in lower case and the value without blanks
/// around it.
fn read_field(line: &[u8]) -> Option<(String, String)> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    let is_valid = !name.is_empty() && name.iter().all(is_token) && is_text(value);
    let value: String = value.iter().copied().map(char::from).collect();
    let value = value.trim_matches([' ', '\t']).to_owned();
    is_valid.then(|| (String::from_utf8_lossy(name).to_lowercase(), value))
}

fn read_chunks(mut input: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (line, rest) = split_line(input)?;
        let is_digit = |byte: &&u8| byte.is_ascii_hexdigit();
        let digits = line.iter().take_while(is_digit).count();
        let blanks = |byte: &&u8| matches!(byte, b' ' | b'\t');
        let extension = &line[digits..];
        let start = extension.iter().take_while(blanks).count();
        let is_valid = (1..=16).contains(&digits)
            && (extension.is_empty() || extension.get(start) == Some(&b';'))
            && is_text(extension)
            && line.len() + 2 <= 1024;
        let size = std::str::from_utf8(&line[..digits]).ok()?;
        let size = usize::from_str_radix(size, 16).ok().filter(|_| is_valid)?;
        if size == 0 {
            input = rest;
            break;
        }
        body.extend_from_slice(rest.get(..size)?);
        input = rest[size..].strip_prefix(b"\r\n")?;
    }
    loop {
        let (line, rest) = split_line(input)?;
        if line.is_empty() {
            return Some(body);
        }
        read_field(line)?;
        input = rest;
    }
}

/// Returns whether a text has no control bytes except tabs.
fn is_text(text: &[u8]) -> bool {
    text.iter()
        .all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}

fn split_line(input: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = input.windows(2).position(|end| end == b"\r\n")?;
    Some((&input[..end], &input[end + 2..]))
}

fn split_lines(mut input: &[u8]) -> Vec<&[u8]> {
    let mut lines = Vec::new();
    while let Some((line, rest)) = split_line(input) {
        lines.push(line);
        input = rest;
    }
    lines.push(input);
    lines
}
