//! Actions on organisations.

use serde_json::{Map, Value as Json};

use super::{Draft, Fields, Refusal, not_applicable};

const SECTION: &str = "organisations";

/// Adds an organisation or changes its given fields.
pub(super) fn set(draft: &mut Draft<'_>, name: &str, fields: &Fields) -> Result<(), Refusal> {
    let values = given_values(fields);
    if draft.owner(SECTION, name).is_none() {
        let file = match &fields.file {
            Some(file) => file.clone(),
            None => draft.file_for_new_entry(SECTION)?,
        };
        return draft.put_entry(&file, SECTION, name, Some(&values));
    }
    if values.is_empty() {
        return Err(not_applicable("name at least one field to change"));
    }
    for (field, value) in values {
        draft.set_field(SECTION, name, &field, value)?;
    }
    Ok(())
}

/// Removes an organisation.
pub(super) fn remove(draft: &mut Draft<'_>, name: &str) -> Result<(), Refusal> {
    let owner = draft
        .owner(SECTION, name)
        .ok_or_else(|| not_applicable(format!("no organisation is named {name}")))?;
    draft.put_entry(&owner, SECTION, name, None)
}

/// Returns the fields that are present, by their name in the file.
fn given_values(fields: &Fields) -> Map<String, Json> {
    let mut values = Map::new();
    let mut add = |name: &str, value: Option<Json>| {
        if let Some(value) = value {
            values.insert(name.to_owned(), value);
        }
    };
    add("weight", fields.weight.map(Json::from));
    add("allow", fields.allow.clone().map(Json::from));
    add("services", fields.services.clone().map(Json::from));
    add("below_target", fields.below_target.map(Json::from));
    add("keys", fields.keys.clone().map(Json::from));
    values
}
