#!/bin/sh
# Installs the packages if they are missing, and builds all packages.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund --loglevel=error
fi
npx --no-install tsc --build
