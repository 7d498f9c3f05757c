//! Callers' port for routed requests: from the socket to a backend server and back.
//!
//! A process has one thread and runs on a [`Platform`](platform::Platform), whose names
//! and formats an adapter supplies. [`process`] starts the tasks of a
//! [`node`]: [`listeners`] listens, [`follow`] hears of changes from a [`source`] and brings them
//! in [`apply`], so that the [`view`] has them, each backend [`server`] among them. [`member`] and [`peer`] find and tell other nodes,
//! [`share`] tells them what runs where, and [`news`] what has changed; [`fetch`] brings
//! what is too [`large`] for that, as a [`piece`] that the [`publisher`] of another node
//! writes, and it is worked on [`offload`].
//! [`trials`] judges roll-outs. Messages between nodes go by [`message`].
//!
//! A request is taken in by [`intake`] and goes through [`request`], which takes one
//! [`attempt`] after another at servers that [`pick`] names out of the [`eligible`] ones, few of
//! them [`warming`] up; [`course`] says how far it may go,
//! [`judge`] what becomes of an answer, and [`relay`] passes streams on. All of them use one
//! client, [`upstream`]. What is decided under load is in `fescuerack_core::routed`.

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
