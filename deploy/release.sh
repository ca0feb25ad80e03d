#!/bin/sh
# Prints the name of this folder's code, with which deploy/build.sh stamps programs: the commit, followed by a hash of the
# sources if they were changed since; outside of version control the hash alone. Other sources have another name.
set -eu
cd "$(dirname "$0")/.."

hash_sources() {
	find . \( -name '*.go' -o -name 'go.mod' -o -name 'go.sum' -o -name '*.json' -path './internal/*' \) -type f \
		-not -path './.git/*' -print | LC_ALL=C sort | while read -r file; do
		echo "$file"
		cat "$file"
	done | sha256sum | cut -c1-12
}

commit=$(git rev-parse --short=12 HEAD 2>/dev/null || true)
root=$(git rev-parse --show-toplevel 2>/dev/null || true)
if [ -z "$commit" ] || [ "$root" != "$(pwd -P)" ]; then
	echo "sources-$(hash_sources)"
elif [ -n "$(git status --porcelain -- '*.go' go.mod go.sum)" ]; then
	echo "$commit+$(hash_sources)"
else
	echo "$commit"
fi
