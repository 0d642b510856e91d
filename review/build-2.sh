#!/bin/sh
# Builds the scripts of cases 6 to 10 and the stand-ins that they start.
set -e
cd "$(dirname "$0")/.."
npx --no-install tsc --build review/tsconfig-2.json
