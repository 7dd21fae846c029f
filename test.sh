#!/usr/bin/env bash
# Format, lints, documentation and tests; the one command that README names.
set -euo pipefail
cd "$(dirname "$0")"

cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet
.ci/cargo-test
