#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/standin review/standin-2/main.rs
