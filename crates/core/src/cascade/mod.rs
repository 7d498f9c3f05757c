//! Which version answers a request: the cheapest plan that meets the target.
//!
//! The pattern: versions of unlike cost and quality serve classes of work with
//! unlike targets. Always taking the strongest pays ten times for a shelf
//! alert; taking the cheapest first with a fixed threshold misses the target
//! when the cheap version is weaker than the threshold's author thought, and
//! overpays when it is better.
//!
//! - [`Learner`] learns from ratings, own and peers', how good each version's
//!   answers are in each class, as a distribution with the configuration's
//!   expectation as its prior.
//! - [`plan()`] lists the plans of a request, cheapest first: one version
//!   directly, or a cheap version whose answer is rated and handed on only at
//!   or above a threshold, else a dearer one. The threshold is the lowest one
//!   at which the lower confidence bound of the cascade's quality meets the
//!   target, since a lower threshold escalates less and so costs less.
//! - [`choose()`] adds what must always hold: allowed versions only, none that
//!   is withdrawn, sessions keep theirs, and no plan whose bound misses the
//!   target unless the organisation's configuration says so.
//!
//! Without ratings (service down or slow) no cascade can be judged: what is
//! left is the cheapest version whose bound meets the target by what is known,
//! usually a dearer one. Cost rises; quality does not fall.

mod choose;
mod estimate;
mod learner;
mod plan;
mod token_bucket;

pub use choose::{Choice, Context, Refusal, Request, Selector, choose};
pub use estimate::{BINS, Estimate};
pub use learner::{Digest, Learner, Report};
pub use plan::{Basis, CONFIDENCE, Candidate, Constraints, Plan, Steps, plan};
pub use token_bucket::{Purpose, TokenBucket};
