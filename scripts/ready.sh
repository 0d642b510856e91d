#!/bin/sh
# Installs packages if they are missing, and builds the workspace.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund --loglevel=error
fi
npx --no-install tsc --build
