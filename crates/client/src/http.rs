//! HTTP client shared by all clients of this crate.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::http::uri::Authority;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

use crate::Fault;

/// HTTP client with a pool of connections.
pub type Agent = ureq::Agent;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the input buffer and of the output buffer of a connection. The library's defaults of
/// 128 KB each would take three quarters of the memory of an open stream. An event of a stream takes
/// a few hundred bytes, and a longer body is transferred in pieces.
const BUFFER_BYTES: usize = 16 << 10;

/// Number of addresses for which the pool has room for all their idle connections.
const MAX_POOLED_ADDRESSES: usize = 64;

/// Creates a client that keeps at most `idle` idle connections to one address.
///
/// Proxies set in the environment are ignored, because the router connects directly to the
/// addresses that it is configured with. An HTTP error status is returned as a response, not as an
/// error.
#[must_use]
pub fn agent(idle: usize) -> Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(idle * MAX_POOLED_ADDRESSES)
        .max_idle_connections_per_host(idle)
        .user_agent("fescuerack")
        .build();
    ureq::Agent::with_parts(
        config,
        DefaultConnector::default(),
        AddressResolver::default(),
    )
}

/// Response whose body has not been read.
pub(crate) type Response = ureq::http::Response<ureq::Body>;

/// Parses a JSON response; a status other than 200 is an error.
pub(crate) fn json<T: serde::de::DeserializeOwned>(mut response: Response) -> Result<T, Fault> {
    if response.status() != 200 {
        return Err(refused(response));
    }
    response
        .body_mut()
        .read_json()
        .map_err(|error| Fault::Malformed(error.to_string()))
}

/// Returns the value of `Retry-After`, if it is text.
pub(crate) fn retry_after(response: &Response) -> Option<String> {
    let value = response.headers().get("retry-after")?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the error for a response with a status other than 200.
pub(crate) fn refused(mut response: Response) -> Fault {
    let status = response.status().as_u16();
    let message = response.body_mut().read_to_string().unwrap_or_default();
    Fault::from_status(status, message)
}

/// Resolver that passes IP addresses through and resolves host names with the library's resolver.
///
/// The library's resolver starts a thread for every request with a time-out, even if the host is
/// an IP address or the request uses a pooled connection. On a busy machine, waiting for that
/// thread to be scheduled delays the first token by 3 ms.
#[derive(Debug, Default)]
struct AddressResolver {
    default: DefaultResolver,
}

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().map(Authority::as_str);
        let Some(Ok(address)) = authority.map(str::parse::<SocketAddr>) else {
            return self.default.resolve(uri, config, timeout);
        };
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
