//! Paths of the callers' port and the methods that they accept.

use hyper::Method;

/// Path prefix before the name of a plain service.
pub const SERVICES_PREFIX: &str = "/v1/services/";

/// Resource that a path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A chat or text completion.
    Completion,
    /// The model list.
    Models,
    /// A call of a plain service.
    Service,
}

impl Route {
    /// Returns the resource at `path`.
    pub fn new(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" | "/v1/completions" => Some(Self::Completion),
            "/v1/models" => Some(Self::Models),
            _ => path.starts_with(SERVICES_PREFIX).then_some(Self::Service),
        }
    }

    /// Returns whether the path accepts a method. Plain services check their
    /// methods themselves.
    pub fn accepts(self, method: &Method) -> bool {
        match self {
            Self::Completion => method == Method::POST,
            Self::Models => method == Method::GET || method == Method::HEAD,
            Self::Service => true,
        }
    }

    /// Returns the methods for the header `Allow`.
    pub const fn methods(self) -> &'static str {
        match self {
            Self::Completion => "POST, OPTIONS",
            Self::Models => "GET, HEAD, OPTIONS",
            Self::Service => "any method",
        }
    }
}
