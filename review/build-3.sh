#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, which the scripts of the cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-3
go build -o ../target/review-3/standin3 ./standin3
