#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Build the program of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-harness-2 ./review/harness-2
