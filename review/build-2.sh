#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Needs the toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/rig-2/main.rs
