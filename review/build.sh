#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Needs no network: the
# dependencies are those of the project, in the versions of its Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
