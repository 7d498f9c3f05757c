//! How a subcommand reaches the configuration: through an instance, or
//! straight at the store.

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

/// Time within which an instance must answer. An instance itself gives the
/// Path of the changes.
const CHANGES_PATH: &str = "/v1/changes";
/// store ten seconds for a change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Where a subcommand goes.
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

/// Name under which a change through `--store` is recorded.
const STORE_AUTHOR: &str = "store";

/// A way to reach the configuration.
pub enum Client {
    /// Instances, in the order in which they are asked.
    Nodes {
        /// Connections.
        agent: Agent,
        /// Addresses.
        addresses: Vec<String>,
        /// The operator's token.
        token: Option<String>,
    },
    /// The store itself.
    Store(HttpStore),
}

impl Access {
    /// Chooses the way.
    ///
    /// # Errors
    ///
    /// When neither an instance nor a store is named, or the token's file
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

    /// Returns the instances that were named.
    pub fn addresses(&self) -> Vec<String> {
        let host_and_port = |node: &String| {
            let node = node.strip_prefix("http://").unwrap_or(node);
            node.trim_end_matches('/').to_owned()
        };
        self.nodes.iter().map(host_and_port).collect()
    }

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
    /// When nobody answers.
    pub fn configuration(&self) -> Result<Configuration> {
        match self {
            Self::Nodes { .. } => self.get_parsed("/v1/configuration"),
            Self::Store(store) => map_api_error(admin::configuration(store)),
        }
    }

    /// Reads the last changes.
    ///
    /// # Errors
    ///
    /// When nobody answers.
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
    /// When nobody answers.
    pub fn ledger(&self) -> Result<Ledger> {
        match self {
            Self::Nodes { .. } => self.get_parsed("/v1/ledger"),
            Self::Store(store) => map_api_error(admin::totals(store)),
        }
    }

    /// Returns what every instance has in force.
    ///
    /// # Errors
    ///
    /// When no instance answers, or none was named.
    pub fn instances(&self) -> Result<Instances> {
        match self {
            Self::Nodes { .. } => self.get_parsed("/v1/instances"),
            Self::Store(_) => Err(anyhow!(
                "the store does not know what instances have in force; name one by --node"
            )),
        }
    }

    /// Says what a proposal would do.
    ///
    /// # Errors
    ///
    /// Why it would not be accepted.
    pub fn plan(&self, proposal: &Proposal) -> Result<Plan> {
        match self {
            Self::Nodes { .. } => self.post_proposal("/v1/plans", proposal),
            Self::Store(store) => {
                let draft = map_api_error(admin::Draft::new(store, proposal, None))?;
                Ok(draft.plan())
            }
        }
    }

    /// Puts a proposal in force.
    ///
    /// # Errors
    ///
    /// Why it was not accepted.
    pub fn submit(&self, proposal: &Proposal) -> Result<Accepted> {
        match self {
            Self::Nodes { .. } => self.post_proposal(CHANGES_PATH, proposal),
            Self::Store(store) => map_api_error(admin::submit(store, proposal, STORE_AUTHOR, None)),
        }
    }

    /// Returns a proposal for an action, made on the files as they stand: an
    /// operator who acts on the same file at the same moment gets a conflict
    /// in place of a second step.
    ///
    /// # Errors
    ///
    /// When nobody answers.
    pub fn proposal(&self, action: Action) -> Result<Proposal> {
        let configuration = self.configuration()?;
        let files = configuration.files.into_iter();
        Ok(Proposal {
            seen: files.map(|(name, file)| (name, file.digest)).collect(),
            action: Some(action),
            ..Proposal::default()
        })
    }

    fn get_parsed<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.send_to_first(false, |agent, address, token| {
            get(agent, address, token, path)
        })
    }

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

    /// Asks one instance after another until one answers. A proposal may be
    /// sent twice by this; its identifier makes that harmless.
    ///
    /// Where the request `changes` something, an instance that gave no answer
    /// may still carry it out. The refusal of another then only says that this
    /// other one changed nothing, so the outcome stays unknown.
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

/// Asks one instance for a path.
///
/// # Errors
///
/// When it gives no answer.
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

/// Reads the answer of an instance.
///
/// # Errors
///
/// What the instance refused, or that the answer is malformed.
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

fn map_api_error<T>(result: Result<T, Error>) -> Result<T> {
    result.map_err(|error| Failed::from(error).into())
}

/// Asks every instance that was named for its state.
///
/// # Errors
///
/// When the token's file cannot be read.
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

/// Returns the merge of a configuration that was read.
///
/// # Errors
///
/// When it holds problems, which one that was accepted does not.
pub fn merge(configuration: Configuration) -> Result<Merged> {
    let files = configuration.files.into_iter();
    let folder = files.fold(Folder::new(), |folder, (name, file)| {
        folder.with_file(&name, file.text)
    });
    Ok(Merged::new(&folder).map_err(Failed::problems)?)
}
