//! The replicated core against a naive single copy.

mod cluster;
mod faults;
mod seeded;
mod steps;
