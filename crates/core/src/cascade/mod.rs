//! Model cascades: the choice of the cheapest plan that meets the quality target of a request.
//!
//! Versions of different cost and quality serve classes of work with different quality targets.
//! Always using the strongest version costs ten times as much for a simple task such as a shelf
//! alert. Trying the cheapest version first with a fixed threshold misses the target when that
//! version is weaker than assumed when the threshold was set, and costs too much when it is better.
//!
//! - [`Learner`] estimates the quality of each version in each class from local ratings and those
//!   of peers, as a distribution whose prior is the quality set in the configuration.
//! - [`plan()`] lists the plans of a request, cheapest first. A plan uses one version directly, or
//!   a cascade: the answer of a cheap version is rated and returned only at or above a threshold,
//!   else a more expensive version answers. The threshold is the lowest one at which the lower
//!   confidence bound of the cascade's quality meets the target, since a lower threshold escalates
//!   less and so costs less.
//! - [`choose()`] enforces the invariants: only allowed versions, none that is withdrawn, sessions
//!   keep their version unless it is withdrawn, and no plan's bound misses the target unless the
//!   organisation's configuration or another ground in [`Basis`] permits it.
//!
//! While the rating service is down or slow, no cascade can be rated. What remains is the cheapest
//! version whose bound meets the target by the estimates so far, usually a more expensive one: the
//! cost rises, the quality does not fall.

mod choose;
mod estimate;
mod learner;
mod plan;
mod token_bucket;

pub use choose::{Choice, Context, Refusal, Request, Selector, choose};
pub use estimate::{Estimate, RATING_HISTOGRAM_BINS};
pub use learner::{Digest, Learner, Report};
pub use plan::{Basis, Candidate, Constraints, LOWER_BOUND_STANDARD_ERRORS, Plan, Steps, plan};
pub use token_bucket::{Purpose, TokenBucket};
