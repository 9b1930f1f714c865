//! Consensus tests: simulated clusters are checked against a reference copy of the state machine.

mod cluster;
mod disk;
mod faults;
mod membership;
mod power_loss;
mod removal;
mod seeded;
mod steps;
