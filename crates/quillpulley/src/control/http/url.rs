//! Parts of request targets.

/// Decodes percent-encoding such as `%41` in a part of a URL. A `%` without two hexadecimal digits after it
/// is kept.
pub fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => decoded.push(hex_pair(&mut bytes).unwrap_or(b'%')),
            other => decoded.push(other),
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn hex_pair(bytes: &mut std::str::Bytes<'_>) -> Option<u8> {
    let mut ahead = bytes.clone();
    let high = char::from(ahead.next()?).to_digit(16)?;
    let low = char::from(ahead.next()?).to_digit(16)?;
    *bytes = ahead;
    u8::try_from(high * 16 + low).ok()
}

/// Returns the decoded value of the first parameter of this name in a query, or `None` if it has none.
pub fn query_parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    Some(percent_decode(&value.replace('+', " ")))
}
