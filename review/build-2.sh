#!/usr/bin/env bash
# Builds the cases of the second review with their stand-ins, which use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
  number="$(basename "$(dirname "$source")")"
  rustc --edition 2021 -O -o "target/review-2/case-$number" "$source"
done
