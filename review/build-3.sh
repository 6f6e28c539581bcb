#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. To be run after the build of
# the deploy file, in the root of the repository or anywhere below it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go test -c -tags review -o target/review-3/stand3 ./review/stand3
