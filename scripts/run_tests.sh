#!/bin/sh
# Runs every compiled test file whose source still exists.
set -eu
cd "$(dirname "$0")/.."
files=""
for source in $(find packages -path '*/node_modules' -prune -o -path '*/test/*' -name '*.test.ts' -not -path '*/dist/*' -print | sort); do
  package=$(echo "$source" | cut -d/ -f1-2)
  rest=$(echo "$source" | cut -d/ -f3-)
  files="$files $package/dist/${rest%.ts}.js"
done
# shellcheck disable=SC2086
exec node --test --test-concurrency=4 $files
