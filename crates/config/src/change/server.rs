//! Backend servers that take no new work.
//!
//! The platform's list says which servers exist; the configuration names only
//! those that operators have retired. A server that was never retired needs no
//! entry, and adding one back means taking its name from the list.

use super::{Draft, Refusal, not_applicable};

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
    let was = retired.iter().any(|known| known == server);
    match (was, retire) {
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
        draft.unset("backends", fleet, "retired")
    } else {
        draft.set("backends", fleet, "retired", retired)
    }
}
