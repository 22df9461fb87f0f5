#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. Needs no packages.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR=target/review-2 exec cargo build --release --offline --locked --manifest-path review/harness-2/Cargo.toml
