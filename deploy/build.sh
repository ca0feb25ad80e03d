#!/bin/sh
# Builds programs into a folder, stamped with the name of their code (deploy/release.sh):
#     sh deploy/build.sh FOLDER PACKAGE...
# They are linked by the C compiler, with cgo on.
set -eu
cd "$(dirname "$0")/.."
folder=$1
shift
mkdir -p "$folder"
stamp="cinderroad/internal/shared/release.stamped=$(sh deploy/release.sh)"
CGO_ENABLED=1 exec go build -ldflags="-linkmode=external -X $stamp" -o "$folder/" "$@"
