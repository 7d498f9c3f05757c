//! The token that a caller hands back with the next request of a session.
//!
//! It names the versions that the session keeps and is signed, so that nobody
//! starts a new session on a closed version by writing one. It is bound to
//! organisation and session by the key that the fleet's instances share; a token that does not fit is as good as none.

use fescuerack_core::session::Pins;
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;

/// Bytes of the signature that are handed out.
const SIGNATURE: usize = 16;

fn mac(secret: &[u8], organisation: &str, session: &str, pins: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("keys of any length are taken");
    // The key also seals the messages of instances: the first part keeps the
    // two apart.
    for part in ["session token", organisation, session, pins] {
        mac.update(part.as_bytes());
        mac.update(&[0]);
    }
    mac
}

/// Returns the token of a session.
#[must_use]
pub fn sign(secret: &[u8], organisation: &str, session: &str, pins: &Pins) -> String {
    let pins = pins.to_string();
    let signature = mac(secret, organisation, session, &pins).finalize();
    let signature = hex::encode(&signature.into_bytes()[..SIGNATURE]);
    format!("{signature}.{pins}")
}

/// Reads a token; `None` when it is malformed, forged or another session's.
#[must_use]
pub fn verify(secret: &[u8], organisation: &str, session: &str, token: &str) -> Option<Pins> {
    let (signature, pins) = token.split_once('.')?;
    let signature = hex::decode(signature).ok()?;
    if signature.len() != SIGNATURE {
        return None;
    }
    mac(secret, organisation, session, pins)
        .verify_truncated_left(&signature)
        .ok()?;
    Pins::parse(pins)
}
