#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. It needs only the Go standard library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
go build -buildvcs=false -o ../target/review-standin ./standin
