#!/bin/sh
# Builds the programs of the cases of the second review, which contain their stand-ins, to
# target/review-2. Needs the Rust compiler and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case-2.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
