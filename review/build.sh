#!/bin/sh
# Builds the stand-ins of the review's scripts, without a network: they use only the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness/main.rs
