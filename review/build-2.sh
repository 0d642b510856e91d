#!/bin/sh
# Builds the scripts of cases 6 to 10 and the stand-ins that they start.
set -e
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc --build review/tsconfig-2.json
