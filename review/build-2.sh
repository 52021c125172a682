#!/bin/sh
# Builds the stand-ins and the cases of the second review. Needs nothing but what the workspace fetches.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
