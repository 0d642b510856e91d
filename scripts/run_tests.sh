#!/bin/sh
# Runs the compiled file of every test source; stale files in dist are skipped.
# A file that does not end fails: an open listener keeps its process alive.
set -eu
cd "$(dirname "$0")/.."
FILE_TIMEOUT_MS=300000
files=""
for source in $(find packages platform -path '*/node_modules' -prune -o -path '*/test/*' -name '*.test.ts' -not -path '*/dist/*' -print | sort); do
  package=${source%%/test/*}
  relative_path=test/${source#*/test/}
  files="$files $package/dist/${relative_path%.ts}.js"
done
# shellcheck disable=SC2086
exec node --test --test-concurrency=4 --test-timeout="$FILE_TIMEOUT_MS" $files
