#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the standard library alone, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]; do
    rustc --edition 2024 -O -o "bin/case-$case" "$case/case.rs"
done
