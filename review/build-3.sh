#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/world-3/Cargo.toml --target-dir target/review-3
