//! The gateway: routes callers' requests to backend servers and returns their answers.
//!
//! A process has one thread and runs on a [`Platform`](platform::Platform), whose names and formats
//! an adapter supplies. [`process`] starts the tasks of a [`node`]:
//!
//! - [`listeners`] accepts connections of callers and peers.
//! - [`follow`] receives changes of the store from a [`source`] and applies them by [`apply`] to the
//!   [`view`], which contains every backend [`server`].
//! - [`member`] registers the node, and [`peer`] exchanges state with its peers: [`share`] sends
//!   what runs where, and [`news`] what has changed.
//! - [`fetch`] transfers items that are too [`large`] for updates, as a [`piece`] that the
//!   [`publisher`] of a peer writes; they are processed on another thread by [`offload`].
//! - [`trials`] evaluates roll-outs.
//!
//! Messages between nodes are sent by [`message`].
//!
//! [`intake`] reads a request. [`request`] then makes one [`attempt`] after another, at servers that
//! [`pick`] selects from the [`eligible`] ones; servers that are [`warming`] up get few requests.
//! [`progress`] holds the state of the request and its retry budget, [`verdict`] decides what happens
//! to an answer, and [`relay`] forwards streams. All of them share the HTTP client in [`upstream`].
//! The load-balancing decisions are in `fescuerack_core::routed`.

pub mod apply;
pub mod arrival;
pub mod attempt;
pub mod body;
pub mod catalog;
pub mod clock;
pub mod difference;
pub mod eligible;
pub mod entry;
pub mod events;
pub mod fetch;
pub mod follow;
pub mod headers;
pub mod intake;
pub mod large;
pub mod listeners;
pub mod logs;
pub mod member;
pub mod message;
pub mod metrics;
pub mod net;
pub mod news;
pub mod node;
pub mod offload;
pub mod peer;
pub mod pick;
pub mod piece;
pub mod places;
pub mod platform;
pub mod process;
pub mod progress;
pub mod publisher;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod routes;
pub mod server;
pub mod settings;
pub mod share;
pub mod source;
pub mod store;
pub mod trials;
pub mod upstream;
pub mod verdict;
pub mod view;
pub mod warming;
