#!/bin/sh
# Builds the stand-ins of the third review's scripts with the toolchain of the project, without any package.
# Run in the repository's root, after the build of the deploy file.
set -eu
mkdir -p target/review-3
rustc --edition 2021 -O -A dead_code -o target/review-3/review-3 review/harness-3/main.rs
