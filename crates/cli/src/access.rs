//! Client for the configuration: through an instance's administration API, or
//! directly in the platform's store.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow};
use clap::Args;
use fescuerack_client::{Agent, Fault, HttpStore, admin, agent};
use fescuerack_config::change::Action;
use fescuerack_config::{Folder, Merged};
use fescuerack_wire::admin::{
    Accepted, Configuration, Error, Failure, History, Instances, Ledger, Plan, Proposal,
};
use serde::de::DeserializeOwned;

use crate::exit::Failed;

/// Path to which changes are submitted.
const CHANGES_PATH: &str = "/v1/changes";
/// Time within which an instance must answer. It is longer than the ten seconds
/// that an instance itself waits for the store to make a change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Options that name the instances or the store.
#[derive(Clone, Debug, Args)]
pub struct Access {
    /// Operators' ports of instances, as `host:port`; the next is asked when
    /// one gives no answer.
    #[arg(
        long = "node",
        value_name = "ADDRESS",
        env = "FESCUERACK_NODE",
        value_delimiter = ','
    )]
    nodes: Vec<String>,
    /// File that holds an operator's token.
    #[arg(long, value_name = "FILE", env = "FESCUERACK_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// The platform's store, as `host:port`, in place of an instance: for the
    /// first configuration, and for when no instance answers.
    #[arg(long, value_name = "ADDRESS")]
    store: Option<String>,
}

/// Author that is recorded with a change made through `--store`.
const STORE_AUTHOR: &str = "store";

/// Client for the configuration.
pub enum Client {
    /// Instances, in the order in which they are tried.
    Nodes {
        /// HTTP client.
        agent: Agent,
        /// Addresses of the operators' ports, as `host:port`.
        addresses: Vec<String>,
        /// Operator's token.
        token: Option<String>,
    },
    /// The platform's store.
    Store(HttpStore),
}

impl Access {
    /// Creates a client for the store if one is named, otherwise for the instances.
    ///
    /// # Errors
    ///
    /// Fails when neither an instance nor a store is named, or the token file
    /// cannot be read.
    pub fn client(&self) -> Result<Client> {
        if let Some(address) = &self.store {
            return Ok(Client::Store(HttpStore::new(address)));
        }
        if self.nodes.is_empty() {
            let message = "name an instance by --node or FESCUERACK_NODE, or the store by --store";
            return Err(Failed::usage(message).into());
        }
        Ok(Client::Nodes {
            agent: agent(2),
            addresses: self.addresses(),
            token: self.token()?,
        })
    }

    /// Returns the addresses of the named instances, as `host:port`.
    pub fn addresses(&self) -> Vec<String> {
        let host_and_port = |node: &String| {
            let node = node.strip_prefix("http://").unwrap_or(node);
            node.trim_end_matches('/').to_owned()
        };
        self.nodes.iter().map(host_and_port).collect()
    }

    /// Returns the operator's token: from the file, or else from `FESCUERACK_TOKEN`.
    fn token(&self) -> Result<Option<String>> {
        if let Some(path) = &self.token_file {
            let text = std::fs::read_to_string(path)
                .with_context(|| format!("read the token in {}", path.display()))?;
            return Ok(Some(text.trim().to_owned()));
        }
        Ok(std::env::var("FESCUERACK_TOKEN").ok())
    }
}

impl Client {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers.
    pub fn configuration(&self) -> Result<Configuration> {
        match self {
            Self::Nodes { .. } => self.get_parsed("/v1/configuration"),
            Self::Store(store) => map_api_error(admin::configuration(store)),
        }
    }

    /// Reads the last changes, at most `max_changes`.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers.
    pub fn history(&self, max_changes: usize) -> Result<History> {
        match self {
            Self::Nodes { .. } => self.get_parsed(&format!("/v1/history?most={max_changes}")),
            Self::Store(store) => map_api_error(admin::history(store, max_changes)),
        }
    }

    /// Reads the ledger's totals.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers.
    pub fn ledger(&self) -> Result<Ledger> {
        match self {
            Self::Nodes { .. } => self.get_parsed("/v1/ledger"),
            Self::Store(store) => map_api_error(admin::totals(store)),
        }
    }

    /// Returns the active revision of every instance.
    ///
    /// # Errors
    ///
    /// Fails when no instance answers, or none was named.
    pub fn instances(&self) -> Result<Instances> {
        match self {
            Self::Nodes { .. } => self.get_parsed("/v1/instances"),
            Self::Store(_) => Err(anyhow!(
                "the store does not know what instances have in force; name one by --node"
            )),
        }
    }

    /// Returns what a proposal would change, without changing anything.
    ///
    /// # Errors
    ///
    /// Fails when the proposal would not be accepted.
    pub fn plan(&self, proposal: &Proposal) -> Result<Plan> {
        match self {
            Self::Nodes { .. } => self.post_proposal("/v1/plans", proposal),
            Self::Store(store) => {
                let draft = map_api_error(admin::Draft::new(store, proposal, None))?;
                Ok(draft.plan())
            }
        }
    }

    /// Submits a proposal.
    ///
    /// # Errors
    ///
    /// Fails when the proposal is not accepted, or its outcome is unknown.
    pub fn submit(&self, proposal: &Proposal) -> Result<Accepted> {
        match self {
            Self::Nodes { .. } => self.post_proposal(CHANGES_PATH, proposal),
            Self::Store(store) => map_api_error(admin::submit(store, proposal, STORE_AUTHOR, None)),
        }
    }

    /// Returns a proposal for an action, based on the digests of the current
    /// files. If two operators act on the same file at the same time, the later
    /// one gets a conflict instead of, for example, a second roll-out step.
    ///
    /// # Errors
    ///
    /// Fails when no instance or store answers.
    pub fn proposal(&self, action: Action) -> Result<Proposal> {
        let configuration = self.configuration()?;
        let files = configuration.files.into_iter();
        Ok(Proposal {
            base: files.map(|(name, file)| (name, file.digest)).collect(),
            action: Some(action),
            ..Proposal::default()
        })
    }

    /// Sends a GET request to the first instance that answers.
    fn get_parsed<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send_to_first(false, |agent, address, token| {
            get(agent, address, token, path)
        })
    }

    /// Posts a proposal to the first instance that answers.
    fn post_proposal<T: DeserializeOwned>(&self, path: &str, proposal: &Proposal) -> Result<T> {
        self.send_to_first(path == CHANGES_PATH, |agent, address, token| {
            let mut request = agent
                .post(format!("http://{address}{path}"))
                .config()
                .timeout_global(Some(ANSWER_TIMEOUT))
                .build();
            if let Some(token) = token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            request
                .send_json(proposal)
                .map_err(|error| Fault::from_client(&error))
        })
    }

    /// Sends a request to one instance after another until one answers. A
    /// proposal may thus be sent twice; its identifier makes that idempotent.
    ///
    /// If the request `is_change`, an instance that gave no answer may still
    /// apply it. An error from the next instance then only means that the next
    /// one changed nothing, so the outcome stays unknown.
    fn send_to_first<T: DeserializeOwned>(
        &self,
        is_change: bool,
        send: impl Fn(&Agent, &str, Option<&str>) -> Result<Response, Fault>,
    ) -> Result<T> {
        let Self::Nodes {
            agent,
            addresses,
            token,
        } = self
        else {
            return Err(anyhow!("no instance was named"));
        };
        let mut failures = Vec::new();
        let mut may_be_applied = false;
        for address in addresses {
            match send(agent, address, token.as_deref()) {
                Ok(response) => {
                    let answer = parse_response(address, response);
                    return match answer {
                        Err(error) if is_change && may_be_applied => {
                            let message = format!("{}; {error:#}", failures.join("; "));
                            Err(Failed::unknown(message).into())
                        }
                        answer => answer,
                    };
                }
                Err(fault) => {
                    may_be_applied |= !matches!(fault, Fault::NotSent(_));
                    failures.push(format!("{address}: {fault}"));
                }
            }
        }
        let message = format!("no instance answers: {}", failures.join("; "));
        if may_be_applied {
            return Err(Failed::unknown(message).into());
        }
        Err(Failed::unreachable(message).into())
    }
}

type Response = ureq::http::Response<ureq::Body>;

/// Sends a GET request to one instance.
///
/// # Errors
///
/// Fails when the instance does not answer.
pub fn get(
    agent: &Agent,
    address: &str,
    token: Option<&str>,
    path: &str,
) -> Result<Response, Fault> {
    let mut request = agent
        .get(format!("http://{address}{path}"))
        .config()
        .timeout_global(Some(ANSWER_TIMEOUT))
        .build();
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    request.call().map_err(|error| Fault::from_client(&error))
}

/// Parses the response of an instance.
///
/// # Errors
///
/// Fails when the instance returned an error, or the response is malformed.
pub fn parse_response<T: DeserializeOwned>(address: &str, mut response: Response) -> Result<T> {
    let status = response.status().as_u16();
    let text = response
        .body_mut()
        .read_to_string()
        .with_context(|| format!("read the answer of {address}"))?;
    if status == 200 {
        return serde_json::from_str(&text)
            .with_context(|| format!("parse the answer of {address}"));
    }
    match serde_json::from_str::<Failure>(&text) {
        Ok(failure) => Err(Failed::from(failure.error).into()),
        Err(_) => Err(anyhow!("{address} answered {status}: {text}")),
    }
}

/// Converts an error of the administration API to a failure with its exit code.
fn map_api_error<T>(result: Result<T, Error>) -> Result<T> {
    result.map_err(|error| Failed::from(error).into())
}

/// Reads the state of every named instance.
///
/// # Errors
///
/// Fails when the token file cannot be read.
pub fn read_states(access: &Access) -> Result<Vec<(String, Result<serde_json::Value>)>> {
    let token = access.token()?;
    let agent = agent(2);
    let read_state = |address: String| {
        let response = get(&agent, &address, token.as_deref(), "/state");
        let state = match response {
            Ok(response) => parse_response(&address, response),
            Err(fault) => Err(Failed::unreachable(format!("no answer: {fault}")).into()),
        };
        (address, state)
    };
    Ok(access.addresses().into_iter().map(read_state).collect())
}

/// Merges the files of a configuration.
///
/// # Errors
///
/// Fails when the files hold problems, which does not happen with a
/// configuration that was accepted.
pub fn merge(configuration: Configuration) -> Result<Merged> {
    let files = configuration.files.into_iter();
    let folder = files.fold(Folder::new(), |folder, (name, file)| {
        folder.with_file(&name, file.text)
    });
    Ok(Merged::new(&folder).map_err(Failed::problems)?)
}
