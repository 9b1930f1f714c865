#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network: they have no
# dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml \
  --target-dir target/review
