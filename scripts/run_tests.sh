#!/bin/sh
# Runs every compiled test file whose source still exists.
set -eu
cd "$(dirname "$0")/.."
files=""
for source in $(find packages platform -path '*/node_modules' -prune -o -path '*/test/*' -name '*.test.ts' -not -path '*/dist/*' -print | sort); do
  package=${source%%/test/*}
  rest=test/${source#*/test/}
  files="$files $package/dist/${rest%.ts}.js"
done
# shellcheck disable=SC2086
exec node --test --test-concurrency=4 $files
