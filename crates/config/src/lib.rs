//! Configuration of fescuerack: a folder of small YAML files.
//!
//! Each team owns one file. The files are merged in the order of their names
//! ([`merge`]), references are checked and the result is compiled into a
//! [`Catalog`], in which every name is a small `Copy` key ([`key`]).
//!
//! Only [`folder::Folder::read`] performs I/O: it loads the files of a
//! directory. Merge and compilation are pure functions, so every instance
//! derives the same catalog from the same manifest.

mod catalog;
pub mod change;
pub mod edit;
pub mod effect;
pub mod file;
pub mod folder;
pub mod key;
pub mod limits;
pub mod merge;
mod names;
pub mod permission;
mod problem;
pub mod tree;

pub use catalog::{Catalog, Class, Cost, Fleet, Operator, Organisation, Rollout, Service, Version};
pub use file::File;
pub use folder::Folder;
pub use merge::Merged;
pub use names::{Arena, Names};
pub use problem::Problem;
