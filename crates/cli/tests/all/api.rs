//! The administration API answers as `docs/openapi.yaml` says.

use std::collections::BTreeSet;

use fescuerack_client::agent;
use fescuerack_config::change::Action;
use fescuerack_standin::Fault;
use fescuerack_wire::admin::Kind;
use serde_json::{Value, json};

use super::support::{ADMIN, MODEL_TEAM, World};

const PAGE: &str = include_str!("../../../../docs/openapi.yaml");

struct Document(Value);

impl Document {
    fn new() -> Self {
        Self(serde_saphyr::from_str(PAGE).expect("valid YAML"))
    }

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

    /// Returns what is wrong with `value` by `schema`.
    fn wrong(&self, at: &str, schema: &Value, value: &Value) -> Option<String> {
        let schema = self.resolve(schema);
        if value.is_null() && schema["nullable"] == true {
            return None;
        }
        if let Some(allowed) = schema["enum"].as_array()
            && !allowed.contains(value)
        {
            return Some(format!("{at}: {value} is none of {allowed:?}"));
        }
        let fits = match schema["type"].as_str() {
            Some("object") => value.is_object(),
            Some("array") => value.is_array(),
            Some("string") => value.is_string(),
            Some("integer") => value.is_u64(),
            Some("boolean") => value.is_boolean(),
            other => panic!("{at}: type {other:?}"),
        };
        if !fits {
            return Some(format!("{at}: {value} is no {}", schema["type"]));
        }
        for item in value.as_array().into_iter().flatten() {
            let wrong = self.wrong(&format!("{at}/0"), &schema["items"], item);
            if wrong.is_some() {
                return wrong;
            }
        }
        self.wrong_object(at, schema, value)
    }

    fn wrong_object(&self, at: &str, schema: &Value, value: &Value) -> Option<String> {
        let fields = value.as_object()?;
        for name in schema["required"].as_array().into_iter().flatten() {
            if !fields.contains_key(name.as_str()?) {
                return Some(format!("{at}: {name} is missing"));
            }
        }
        for (name, field) in fields {
            let at = format!("{at}/{name}");
            let known = schema["properties"].get(name);
            let wrong = match (known, &schema["additionalProperties"]) {
                (Some(known), _) => self.wrong(&at, known, field),
                (None, Value::Bool(false)) => Some(format!("{at} is not documented")),
                (None, Value::Object(_)) => self.wrong(&at, &schema["additionalProperties"], field),
                (None, _) => None,
            };
            if wrong.is_some() {
                return wrong;
            }
        }
        None
    }
}

struct Client<'a> {
    world: &'a World,
    document: Document,
    seen: BTreeSet<(String, String, u16)>,
}

impl Client<'_> {
    /// Sends a request and checks the answer against the document.
    fn ask(&mut self, path: &str, token: Option<&str>, body: Option<&Value>) -> (u16, Value) {
        let url = format!("http://{}{path}", self.world.operators(0));
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
        let wrong = self.document.wrong(&path, schema, &value);
        assert_eq!(wrong, None, "{method} {path}: {text}");
        (status, value)
    }
}

fn proposal(request: &str, action: &Value) -> Value {
    json!({"request": request, "why": "test", "action": action})
}

fn paths(document: &Document) -> Vec<(String, String)> {
    let paths = document.0["paths"].as_object().expect("paths");
    let operations = paths.iter().flat_map(|(path, methods)| {
        let methods = methods.as_object().expect("methods").keys();
        methods.map(|method| (method.clone(), path.clone()))
    });
    operations.collect()
}

#[test]
fn api_answers_as_documented() {
    let world = World::new();
    let mut client = Client {
        world: &world,
        document: Document::new(),
        seen: BTreeSet::new(),
    };
    let step = json!({"action": "rollout-step", "model": "kaisla-mini"});
    for (method, path) in paths(&client.document) {
        let body = (method == "post").then(|| proposal("p", &step));
        let open = path == "/healthz" || path == "/readyz";
        let (status, _) = client.ask(&path, None, body.as_ref());
        assert_eq!(status, if open { 200 } else { 401 }, "{path}");
        if !open && method == "get" {
            assert_eq!(client.ask(&path, Some(ADMIN), None).0, 200, "{path}");
        }
    }
    assert_eq!(client.ask("/v1/history?most=0", Some(ADMIN), None).0, 400);
    for path in ["/v1/plans", "/v1/changes"] {
        let mut ask = |token, body: &Value| client.ask(path, Some(token), Some(body)).0;
        assert_eq!(ask(ADMIN, &json!({"unknown": 1})), 400, "{path}");
        assert_eq!(
            ask(
                ADMIN,
                &proposal(
                    "a",
                    &json!({"action": "server-add", "fleet": "x", "server": "y"})
                )
            ),
            422
        );
        let broken = json!({"request": "b", "why": "w", "files": {"9.yaml": "targets: {t: 1}\n"}});
        assert_eq!(ask(ADMIN, &broken), 422, "{path}");
        let foreign = json!({"action": "organisation-remove", "organisation": "iltahoito"});
        assert_eq!(ask(MODEL_TEAM, &proposal("c", &foreign)), 403, "{path}");
        let mut stale = proposal("d", &step);
        stale["seen"] = json!({"40-rollouts.yaml": "0"});
        assert_eq!(ask(MODEL_TEAM, &stale), 409, "{path}");
        let large = json!({"request": "e", "why": "w", "files": {"9.yaml": "#".repeat(9 << 20)}});
        assert_eq!(ask(ADMIN, &large), 413, "{path}");
        assert_eq!(ask(MODEL_TEAM, &proposal("f", &step)), 200, "{path}");
    }
    let again = client.ask("/v1/changes", Some(MODEL_TEAM), Some(&proposal("f", &step)));
    assert_eq!(again.1["unchanged"], true);
    assert_eq!(again.1["revision"], 2);
    world.platform.store_faults().set(Fault::Down, 1);
    for path in ["/v1/history", "/v1/ledger"] {
        assert_eq!(client.ask(path, Some(ADMIN), None).0, 503);
    }
    let (status, configuration) = client.ask("/v1/configuration", Some(ADMIN), None);
    assert_eq!(
        (status, &configuration["source"]),
        (200, &json!("instance"))
    );
    assert_eq!(
        client
            .ask("/v1/plans", Some(ADMIN), Some(&proposal("g", &step)))
            .0,
        503
    );
    let asked: BTreeSet<_> = client
        .seen
        .iter()
        .map(|(method, path, _)| (method, path))
        .collect();
    assert_eq!(asked.len(), paths(&client.document).len());
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
