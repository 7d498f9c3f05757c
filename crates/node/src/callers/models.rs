//! `GET /v1/models`: the models that the organisation may use.

use std::collections::BTreeSet;

use fescuerack_wire::chat::{Model, Models};

use super::reply::{Reply, json_reply};
use super::request::Call;
use crate::node_state::NodeState;

/// Lists the models, versions and classes of work that the caller may name.
pub fn answer(shared: &NodeState, call: &Call) -> Reply {
    let active = shared.active_configuration();
    let mut ids = BTreeSet::new();
    if let Some(organisation) = active.catalog.organisations.get(call.organisation) {
        for version in &organisation.allowed {
            ids.insert(active.names.versions.name(*version).to_string());
            let model = active.catalog.versions[*version].model;
            ids.insert(active.names.models.name(model).to_string());
        }
        for (class, entry) in &active.catalog.classes {
            let usable = organisation.allowed.iter().any(|version| {
                entry
                    .models
                    .contains(&active.catalog.versions[*version].model)
            });
            if usable {
                ids.insert(format!("auto:{}", active.names.classes.name(class)));
            }
        }
    }
    let entry = |id| Model {
        id,
        object: "model".to_owned(),
        owned_by: "fescuerack".to_owned(),
    };
    json_reply(&Models {
        object: "list".to_owned(),
        data: ids.into_iter().map(entry).collect(),
    })
}
