#!/bin/sh
# Builds the stand-ins of the second review, with the standard library alone. To be run at the root of the repository.
set -e
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/case review/standins-2/main.rs
