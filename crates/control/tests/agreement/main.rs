//! The replicated core against a naive single copy.

mod cluster;
mod faults;
mod membership;
mod seeded;
mod steps;
