//! Tests of the core's slices, without a network.

<<<<<<< HEAD
mod admission;
mod attempt;
=======
mod choice;
>>>>>>> main
mod fleet;
mod member;
mod order;
mod poison;
mod replay;
mod rollout;
mod route;
