//! Scenario files: the parser, with one statement per line, and the runner that executes them
//! against a fleet of processes.

pub mod language;
pub mod runner;
