#!/bin/bash
# Builds the stand-ins of the scripts; needs the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.rs; do
  case="$(basename "$(dirname "$source")")"
  rustc --edition 2021 -O "$source" -o "target/review/case$case"
done
