#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
