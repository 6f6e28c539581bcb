#!/bin/bash
# Builds the stand-ins that the scripts of review/6 and later start. It runs after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-2 ./review/standin2
