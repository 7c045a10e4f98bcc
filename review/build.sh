#!/bin/sh
# Builds the stand-ins of the cases; they have no dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-in/Cargo.toml --target-dir target/review
