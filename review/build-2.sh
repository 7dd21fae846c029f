#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins-2 review/stand-ins-2/main.rs
