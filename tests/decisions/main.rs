//! The decision cores of several entries under failures: scripted scenarios and long random runs.

mod ends;
mod random;
mod scenarios;
mod world;
