//! Decodes the API key of a request.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::workspace::KeyDigest;

/// Authentication scheme of API keys, also the challenge of a refusal.
pub(crate) const KEY_SCHEME: &str = "Token";

/// Decodes the API key from the headers; `None` without exactly one well-formed key. The key itself is not kept.
pub(crate) fn decode_api_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return None;
    };
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    let key = key.trim_matches(' ');
    let is_well_formed =
        scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty() && !key.contains([' ', ',']);
    is_well_formed.then(|| KeyDigest::of(key))
}
