#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2:
#     sh review/build-2.sh
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec go build -o target/review-2/ ./review/lostearly ./review/slowrunner
