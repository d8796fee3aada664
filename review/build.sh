#!/bin/sh
# Builds the stand-ins of the scripts under review/ into target/review/. Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/1/standin/main.rs
