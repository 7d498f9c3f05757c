//! Actions on backend servers: retiring one and adding it back.
//!
//! The platform's list defines which servers exist; the configuration lists
//! only those that operators have retired. A server that was never retired is
//! not listed there, and adding a retired server back removes it from that list.

use super::{Draft, Refusal, not_applicable};

/// Retires a server or, if `retire` is false, adds it back.
pub(super) fn set(
    draft: &mut Draft<'_>,
    fleet: &str,
    server: &str,
    retire: bool,
) -> Result<(), Refusal> {
    let backends = &draft.merged.file.backends;
    let entry = backends.get(fleet).ok_or_else(|| {
        let known: Vec<_> = backends.keys().map(String::as_str).collect();
        let known = known.join(", ");
        not_applicable(format!("no backend is named {fleet}; there are {known}"))
    })?;
    let mut retired = entry.retired.clone();
    let is_retired = retired.iter().any(|known| known == server);
    match (is_retired, retire) {
        (true, true) => return Err(not_applicable(format!("{server} is retired already"))),
        (false, false) => {
            let message = format!(
                "{server} is not retired; a new server takes work once the platform lists it"
            );
            return Err(not_applicable(message));
        }
        (false, true) => retired.push(server.to_owned()),
        (true, false) => retired.retain(|known| known != server),
    }
    if retired.is_empty() {
        draft.remove_field("backends", fleet, "retired")
    } else {
        draft.set_field("backends", fleet, "retired", retired)
    }
}
