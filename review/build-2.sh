#!/bin/sh
# Builds the stand-ins of the second review's cases. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/6/standin/main.rs
