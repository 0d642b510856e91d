#!/usr/bin/env bash
# Builds the stand-ins and the scripts of all cases. Needs no network: the
# `build` line of deploy/system.toml has installed the packages.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc --build review/tsconfig.json
