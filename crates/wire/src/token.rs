//! Session token, which a caller returns with the next request of its session.
//!
//! The token contains the versions to which the session is pinned. It is signed with the key that
//! the instances share; otherwise, a caller could start a new session on a version that accepts no
//! new sessions by forging a token. The signature covers organisation and session, so a token is valid only for
//! them. An invalid token is treated like a missing one.

use fescuerack_core::session::Pins;
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;

/// Length to which the signature is truncated.
const SIGNATURE_BYTES: usize = 16;

fn mac(secret: &[u8], organisation: &str, session: &str, pins: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
    // The same key signs the messages between instances. The first part differs for each use, so
    // that neither kind of signature is valid as the other.
    for part in ["session token", organisation, session, pins] {
        mac.update(part.as_bytes());
        mac.update(&[0]);
    }
    mac
}

/// Returns the signed token of a session.
#[must_use]
pub fn sign(secret: &[u8], organisation: &str, session: &str, pins: &Pins) -> String {
    let pins = pins.to_string();
    let signature = mac(secret, organisation, session, &pins).finalize();
    let signature = hex::encode(&signature.into_bytes()[..SIGNATURE_BYTES]);
    format!("{signature}.{pins}")
}

/// Returns the versions in a token, or `None` if the token is malformed, forged or issued for
/// another session.
#[must_use]
pub fn verify(secret: &[u8], organisation: &str, session: &str, token: &str) -> Option<Pins> {
    let (signature, pins) = token.split_once('.')?;
    let signature = hex::decode(signature).ok()?;
    if signature.len() != SIGNATURE_BYTES {
        return None;
    }
    mac(secret, organisation, session, pins)
        .verify_truncated_left(&signature)
        .ok()?;
    Pins::parse(pins)
}
