#!/usr/bin/env bash
# Regenerates every figure of docs/CAPACITY.md; takes about five minutes on eight cores.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --examples --bins
run() {
  echo "== $*"
  "./target/release/examples/$@"
}
run decisions
run policy
run control --nodes 3,9,27
run recovery
run keyed
run memory
run load
run load --rate 120 --groups 4
cargo test -q -p turmerictack-standin --test member_histories in_force -- --nocapture
