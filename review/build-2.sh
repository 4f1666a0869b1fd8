#!/usr/bin/env bash
# Builds the stand-ins of the second review. They have no dependencies, so no registry is needed.
set -euo pipefail
cd "$(dirname "$0")/stand-in-2"
cargo build --release --offline --locked --target-dir ../../target/review-2
