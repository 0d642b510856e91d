#!/bin/sh
# Measures forwarding and look-ups, each program in a process of its own.
# usage: forwarding.sh DELAY_MS SECONDS CONCURRENCIES [LOOKUPS_PER_SECOND]
set -eu
cd "$(dirname "$0")/../dist/src/forwarding"
directory=$(mktemp -d)
wait_for() {
  while [ ! -f "$1" ]; do sleep 0.1; done
}
node target_main.js "$directory/target" "$1" &
target=$!
wait_for "$directory/target"
node entry_main.js "$directory/entry" "$directory/target" 2>"$directory/log" &
entry=$!
trap 'kill $target $entry 2>/dev/null; rm -r "$directory"' EXIT
wait_for "$directory/entry"
node load_main.js "$directory/entry" "$directory/target" "$2" "$3" "${4:-}"
