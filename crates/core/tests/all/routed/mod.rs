//! Decisions for routed requests, each under the load that it answers.

mod budget;
mod crash;
mod grey;
mod health;
mod home;
mod load;
mod pace;
mod session;
mod tier;
mod trial;
mod vanish;
mod wait;
mod warmup;
mod watcher;
