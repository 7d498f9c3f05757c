//! Compares the administration API with `docs/openapi.yaml`.

use std::collections::BTreeSet;

use fescuerack_client::agent;
use fescuerack_config::change::Action;
use fescuerack_standin::Fault;
use fescuerack_wire::admin::Kind;
use serde_json::{Value, json};

use super::support::{ADMIN_TOKEN, Cluster, MODEL_TEAM_TOKEN};

const OPENAPI: &str = include_str!("../../../../docs/openapi.yaml");

struct Document(Value);

impl Document {
    fn new() -> Self {
        Self(serde_saphyr::from_str(OPENAPI).expect("valid YAML"))
    }

    /// Follows references to the node that they name.
    fn resolve<'a>(&'a self, node: &'a Value) -> &'a Value {
        match node["$ref"].as_str() {
            Some(path) => {
                let path = path.trim_start_matches('#');
                let found = self.0.pointer(path);
                self.resolve(found.unwrap_or_else(|| panic!("{path} is missing")))
            }
            None => node,
        }
    }

    /// Returns the first mismatch between `value` and `schema`.
    fn check(&self, at: &str, schema: &Value, value: &Value) -> Option<String> {
        let schema = self.resolve(schema);
        if value.is_null() && schema["nullable"] == true {
            return None;
        }
        if let Some(allowed) = schema["enum"].as_array()
            && !allowed.contains(value)
        {
            return Some(format!("{at}: {value} is none of {allowed:?}"));
        }
        let has_type = match schema["type"].as_str() {
            Some("object") => value.is_object(),
            Some("array") => value.is_array(),
            Some("string") => value.is_string(),
            Some("integer") => value.is_u64(),
            Some("boolean") => value.is_boolean(),
            other => panic!("{at}: type {other:?}"),
        };
        if !has_type {
            return Some(format!("{at}: {value} is no {}", schema["type"]));
        }
        for item in value.as_array().into_iter().flatten() {
            let mismatch = self.check(&format!("{at}/0"), &schema["items"], item);
            if mismatch.is_some() {
                return mismatch;
            }
        }
        self.check_object(at, schema, value)
    }

    /// Returns the first mismatch in the fields of an object.
    fn check_object(&self, at: &str, schema: &Value, value: &Value) -> Option<String> {
        let fields = value.as_object()?;
        for name in schema["required"].as_array().into_iter().flatten() {
            if !fields.contains_key(name.as_str()?) {
                return Some(format!("{at}: {name} is missing"));
            }
        }
        for (name, field) in fields {
            let at = format!("{at}/{name}");
            let property = schema["properties"].get(name);
            let mismatch = match (property, &schema["additionalProperties"]) {
                (Some(property), _) => self.check(&at, property, field),
                (None, Value::Bool(false)) => Some(format!("{at} is not documented")),
                (None, Value::Object(_)) => self.check(&at, &schema["additionalProperties"], field),
                (None, _) => None,
            };
            if mismatch.is_some() {
                return mismatch;
            }
        }
        None
    }
}

/// Client that checks each answer and records which operations it has sent.
struct Client<'a> {
    cluster: &'a Cluster,
    document: Document,
    seen: BTreeSet<(String, String, u16)>,
}

impl Client<'_> {
    /// Sends a request and checks the answer against the document.
    fn request(&mut self, path: &str, token: Option<&str>, body: Option<&Value>) -> (u16, Value) {
        let url = format!("http://{}{path}", self.cluster.operators(0));
        let bearer = token.map(|token| format!("Bearer {token}"));
        let agent = agent(1);
        let bearer = bearer.unwrap_or_default();
        let response = if let Some(body) = body {
            let request = agent.post(&url).header("authorization", &bearer);
            request.send_json(body)
        } else {
            agent.get(&url).header("authorization", &bearer).call()
        };
        let mut response = response.expect("an answer");
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().expect("a body");
        let method = if body.is_some() { "post" } else { "get" };
        let path = path.split('?').next().expect("a path").to_owned();
        let operation = &self.document.0["paths"][&path][method];
        assert!(operation.is_object(), "{method} {path} is not documented");
        let documented = &operation["responses"][status.to_string()];
        assert!(
            documented.is_object(),
            "{method} {path}: {status} is not documented: {text}"
        );
        let documented = self.document.resolve(documented);
        let schema = &documented["content"]["application/json"]["schema"];
        self.seen.insert((method.to_owned(), path.clone(), status));
        if schema.is_null() {
            return (status, Value::Null);
        }
        let value: Value = serde_json::from_str(&text).expect("JSON");
        let mismatch = self.document.check(&path, schema, &value);
        assert_eq!(mismatch, None, "{method} {path}: {text}");
        (status, value)
    }
}

/// Returns the body of a proposal for an action.
fn action_proposal(request: &str, action: &Value) -> Value {
    json!({"request": request, "why": "test", "action": action})
}

/// Returns the method and path of every operation.
fn operations(document: &Document) -> Vec<(String, String)> {
    let paths = document.0["paths"].as_object().expect("paths");
    let operations = paths.iter().flat_map(|(path, methods)| {
        let methods = methods.as_object().expect("methods").keys();
        methods.map(|method| (method.clone(), path.clone()))
    });
    operations.collect()
}

#[test]
fn api_answers_as_documented() {
    let cluster = Cluster::new();
    let mut client = Client {
        cluster: &cluster,
        document: Document::new(),
        seen: BTreeSet::new(),
    };
    let step = json!({"action": "rollout-step", "model": "kaisla-mini"});
    for (method, path) in operations(&client.document) {
        let body = (method == "post").then(|| action_proposal("p", &step));
        let is_public = path == "/healthz" || path == "/readyz";
        let (status, _) = client.request(&path, None, body.as_ref());
        assert_eq!(status, if is_public { 200 } else { 401 }, "{path}");
        if !is_public && method == "get" {
            assert_eq!(
                client.request(&path, Some(ADMIN_TOKEN), None).0,
                200,
                "{path}"
            );
        }
    }
    assert_eq!(
        client
            .request("/v1/history?most=0", Some(ADMIN_TOKEN), None)
            .0,
        400
    );
    for path in ["/v1/plans", "/v1/changes"] {
        let mut request = |token, body: &Value| client.request(path, Some(token), Some(body)).0;
        assert_eq!(request(ADMIN_TOKEN, &json!({"unknown": 1})), 400, "{path}");
        assert_eq!(
            request(
                ADMIN_TOKEN,
                &action_proposal(
                    "a",
                    &json!({"action": "server-add", "fleet": "x", "server": "y"})
                )
            ),
            422
        );
        let broken = json!({"request": "b", "why": "w", "files": {"9.yaml": "targets: {t: 1}\n"}});
        assert_eq!(request(ADMIN_TOKEN, &broken), 422, "{path}");
        let foreign = json!({"action": "organisation-remove", "organisation": "iltahoito"});
        assert_eq!(
            request(MODEL_TEAM_TOKEN, &action_proposal("c", &foreign)),
            403,
            "{path}"
        );
        let mut stale = action_proposal("d", &step);
        stale["seen"] = json!({"40-rollouts.yaml": "0"});
        assert_eq!(request(MODEL_TEAM_TOKEN, &stale), 409, "{path}");
        let large = json!({"request": "e", "why": "w", "files": {"9.yaml": "#".repeat(9 << 20)}});
        assert_eq!(request(ADMIN_TOKEN, &large), 413, "{path}");
        assert_eq!(
            request(MODEL_TEAM_TOKEN, &action_proposal("f", &step)),
            200,
            "{path}"
        );
    }
    let again = client.request(
        "/v1/changes",
        Some(MODEL_TEAM_TOKEN),
        Some(&action_proposal("f", &step)),
    );
    assert_eq!(again.1["unchanged"], true);
    assert_eq!(again.1["revision"], 2);
    cluster.platform.store_faults().set(Fault::Down, 1);
    for path in ["/v1/history", "/v1/ledger"] {
        assert_eq!(client.request(path, Some(ADMIN_TOKEN), None).0, 503);
    }
    let (status, configuration) = client.request("/v1/configuration", Some(ADMIN_TOKEN), None);
    assert_eq!(
        (status, &configuration["source"]),
        (200, &json!("instance"))
    );
    assert_eq!(
        client
            .request(
                "/v1/plans",
                Some(ADMIN_TOKEN),
                Some(&action_proposal("g", &step))
            )
            .0,
        503
    );
    let requested: BTreeSet<_> = client
        .seen
        .iter()
        .map(|(method, path, _)| (method, path))
        .collect();
    assert_eq!(requested.len(), operations(&client.document).len());
}

#[test]
fn document_names_every_kind_and_action() {
    let document = Document::new();
    let schema = &document.0["components"]["schemas"];
    let kinds = schema["Failure"]["properties"]["error"]["properties"]["type"]["enum"].as_array();
    for kind in kinds.expect("kinds") {
        let kind: Kind = serde_json::from_value(kind.clone()).expect("a kind of the code");
        assert!((400..600).contains(&kind.status()));
    }
    let actions = schema["Action"]["properties"]["action"]["enum"]
        .as_array()
        .expect("actions");
    let unknown = serde_json::from_value::<Action>(json!({"action": "no-such"}));
    let unknown = unknown.expect_err("no such action").to_string();
    for action in actions {
        let name = action.as_str().expect("a name");
        assert!(unknown.contains(&format!("`{name}`")), "{name}: {unknown}");
    }
    assert_eq!(
        unknown.matches('`').count() / 2,
        actions.len() + 1,
        "{unknown}"
    );
}
