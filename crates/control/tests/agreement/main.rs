//! Consensus tests: simulated clusters are checked against a reference copy of the state machine.

mod cluster;
mod faults;
mod membership;
mod seeded;
mod steps;
