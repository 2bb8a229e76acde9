#!/bin/sh
# Builds the stand-ins of the cases with the toolchain of the project. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standins/main.rs
