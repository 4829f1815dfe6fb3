#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the Rust toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
