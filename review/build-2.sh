#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 2 into target/review2. It needs only the Go standard library.
set -euo pipefail
cd "$(dirname "$0")/standin2"
go build -o ../../target/review2/standin2 .
