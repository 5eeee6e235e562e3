#!/bin/sh
# Builds the stand-ins of all cases with the standard library alone, into review/target.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/target || exit 2
for case in review/[0-9]; do
    rustc --edition 2021 -O -o "review/target/case-$(basename "$case")" "$case/case.rs" || exit 2
done
