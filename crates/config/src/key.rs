//! Typed keys into the arenas of [`crate::Names`].
//!
//! A key stays valid for the life of the process, even when a later
//! configuration no longer contains the name, because counters and sessions
//! still refer to it. Keys never leave the process; messages carry names.

slotmap::new_key_type! {
    /// An organisation that sends requests.
    pub struct Organisation;
    /// A model, which has one or more versions.
    pub struct Model;
    /// A version of a model.
    pub struct Version;
    /// A class of work with its quality target.
    pub struct Class;
    /// A group of interchangeable backend servers.
    pub struct Fleet;
    /// One backend server.
    pub struct Server;
}
