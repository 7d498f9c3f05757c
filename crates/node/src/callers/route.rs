//! Paths of the callers' port and the methods that they take.

use hyper::Method;

/// What comes before the name of a plain service.
pub const SERVICES: &str = "/v1/services/";

/// What a path stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// A completion.
    Completion,
    /// The model list.
    Models,
    /// A call of a plain service.
    Service,
}

impl Route {
    /// Returns what `path` stands for.
    pub fn new(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" | "/v1/completions" => Some(Self::Completion),
            "/v1/models" => Some(Self::Models),
            _ => path.starts_with(SERVICES).then_some(Self::Service),
        }
    }

    /// Returns whether the path takes a method; those of plain services are
    /// theirs to judge.
    pub fn takes(self, method: &Method) -> bool {
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
