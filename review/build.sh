#!/bin/sh
# Builds the stand-ins of the scripted cases. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
