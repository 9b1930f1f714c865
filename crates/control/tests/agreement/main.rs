//! Consensus tests: simulated clusters are checked against a reference copy of the state machine.

mod cluster;
mod disk;
mod faults;
mod membership;
mod power_loss;
mod seeded;
mod steps;
