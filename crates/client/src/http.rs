//! The HTTP client that all edges share.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::http::uri::Authority;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

use crate::Fault;

/// A pool of connections.
pub type Agent = ureq::Agent;

/// Time within which a connection must be made.
const CONNECT: Duration = Duration::from_secs(1);

/// Buffers of one connection, in bytes. The library's own, 128 KB each, made up
/// three quarters of the memory of an open stream; an event of a stream is some
/// hundred bytes, and a longer body goes through in pieces.
const BUFFER: usize = 16 << 10;

/// Creates a pool that keeps at most `idle` connections to one address.
///
/// Proxies of the environment are not used: the router talks to addresses it
/// was given. Statuses are values, not errors.
#[must_use]
pub fn agent(idle: usize) -> Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT))
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .max_idle_connections(idle * 64)
        .max_idle_connections_per_host(idle)
        .user_agent("fescuerack")
        .build();
    ureq::Agent::with_parts(config, DefaultConnector::default(), Numbers::default())
}

/// An answer whose body has not been read.
pub(crate) type Response = ureq::http::Response<ureq::Body>;

/// Reads an answer that is JSON.
pub(crate) fn json<T: serde::de::DeserializeOwned>(mut response: Response) -> Result<T, Fault> {
    if response.status() != 200 {
        return Err(refused(response));
    }
    response
        .body_mut()
        .read_json()
        .map_err(|error| Fault::Malformed(error.to_string()))
}

/// Returns what an answer other than 200 says.
pub(crate) fn refused(mut response: Response) -> Fault {
    Fault::Refused {
        status: response.status().as_u16(),
        message: response.body_mut().read_to_string().unwrap_or_default(),
    }
}

/// Takes IP numbers as they are.
///
/// The library's resolver starts a thread for every request that has a
/// timeout, also for a number and for a kept connection. That thread's turn on
/// a busy machine cost the first token 3 ms.
#[derive(Debug, Default)]
struct Numbers {
    names: DefaultResolver,
}

impl Resolver for Numbers {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().map(Authority::as_str);
        let Some(Ok(address)) = authority.map(str::parse::<SocketAddr>) else {
            return self.names.resolve(uri, config, timeout);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
