//! Tests of the controllers of several entries under failures: scripted scenarios and random runs.

mod ends;
mod random;
mod scenarios;
mod world;
