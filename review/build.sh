#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into target/review/. The programs under review are built by the build line
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec go build -o target/review/ ./review/lonecopy ./review/lateanswer ./review/slowlink
