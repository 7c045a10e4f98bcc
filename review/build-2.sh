#!/bin/sh
# Builds the program that drives the cases 6 and later, with the project's stand-in for the platform.
# Run it from any folder, after the build of the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/check-2/Cargo.toml --target-dir target/review-2
