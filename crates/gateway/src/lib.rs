//! The gateway: routes callers' requests to backend servers and returns their answers.
//!
//! An instance is a machine of the router; the process on it is a node. A node has one thread and
//! runs on a [`Platform`](platform::Platform), whose names and formats an adapter supplies.
//! [`process`] starts the tasks of a [`node`]:
//!
//! - [`listeners`] accepts connections of callers and peers; [`caller_connection`] is one of a caller, of which there may be so many ([`connections`]), and
//!   [`lingering`] its end while the caller is still sending.
//! - [`bootstrap`] gets the state of the store at the start, as a [`snapshot`] from a peer or by a
//!   full [`read`].
//! - [`follow`] receives changes of the store from a [`source`], the store itself or a peer that is
//!   polled for [`updates`]. [`apply`] applies them to the [`view`], which contains every backend
//!   [`server`].
//! - [`initial_sync`] asks another node what servers have stated, and then the node is ready.
//! - [`registration`] enters the node in the store, [`peer`] exchanges state with other nodes, and
//!   [`load_report`] publishes the load and the failures of backend servers, the state of
//!   [`load_exchange`], with the sizes of the [`engine_pools`].
//! - [`fetch`] requests items that are too [`large`] for updates from other nodes, whose
//!   [`publisher`] sends each as a [`delta`] against a former value. They are processed on another
//!   thread ([`offload`]).
//! - [`rollout`] evaluates roll-outs.
//!
//! Nodes send each other messages by [`message`].
//!
//! [`intake`] reads a [`request`], whose [body](bodies) counts in the memory of all; [`resources`] says how much
//! that may be. [`attempts`] then makes one [`attempt`] after another, at servers
//! that [`pick`] selects from the [`eligible`] ones; servers with a [`server_limit`] get few
//! requests, [leaving](server_leaving) ones and those that [rest](server_rest) none; servers state
//! all three in their answers ([`statements`]). [`progress`] holds the state of the request,
//! [`repeat`] decides whether it may be sent once more, [`verdict`] decides what happens to an answer, [`fallback`] holds one of
//! low confidence while a larger [`model`] is asked, and [`relay`] forwards streams;
//! [`evidence`] records whether the request crashes servers, and [`outbox`] what peers are told of
//! that. All of them share the HTTP client in
//! [`upstream`]. [`server_capacity`] says what a server may get from this node now. When [`reach`]
//! finds that no server is reached, or another node owns the [brittle servers](server_brittle),
//! [`forward`] sends requests through a peer ([`hop`]). The load-balancing decisions are in `fescuerack_core::gateway`.

pub mod apply;
pub mod arrival;
pub mod attempt;
pub mod attempt_deadline;
pub mod attempts;
pub mod bodies;
pub mod body;
pub mod bootstrap;
pub mod buffers;
pub mod caller_connection;
pub mod catalog;
pub mod clock;
pub mod connections;
pub mod delta;
pub mod delta_codec;
pub mod eligible;
pub mod engine_pools;
pub mod entry;
pub mod events;
pub mod evidence;
pub mod fallback;
pub mod fetch;
pub mod follow;
pub mod forward;
pub mod head_limit;
pub mod headers;
pub mod history;
pub mod hop;
pub mod initial_sync;
pub mod intake;
pub mod large;
pub mod lingering;
pub mod listeners;
pub mod load_exchange;
pub mod load_report;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod model;
pub mod net;
pub mod node;
pub mod offload;
pub mod outbox;
pub mod peer;
pub mod permits;
pub mod pick;
pub mod platform;
pub mod probe;
pub mod process;
pub mod progress;
pub mod publisher;
pub mod reach;
pub mod read;
pub mod read_ahead;
pub mod refusal;
pub mod registration;
pub mod relay;
pub mod repeat;
pub mod request;
pub mod resources;
pub mod rollout;
pub mod routes;
pub mod server;
pub mod server_brittle;
pub mod server_capacity;
pub mod server_leaving;
pub mod server_limit;
pub mod server_rest;
pub mod settings;
pub mod snapshot;
pub mod source;
pub mod statements;
pub mod store;
pub mod stream_progress;
pub mod suspects;
pub mod trial;
pub mod unreadable_headers;
pub mod updates;
pub mod upstream;
pub mod verdict;
pub mod view;
