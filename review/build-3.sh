#!/bin/bash
# Builds the programs that the scripts of the third review start, beside the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/cases-3/Cargo.toml --target-dir target/cases-3
