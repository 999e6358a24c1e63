#!/bin/sh
# Builds the harness of the scripted cases, with the stand-ins that it starts.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-harness ./review/harness
