#!/usr/bin/env bash
# The stand-ins of the second review are plain modules of Node.js, so that nothing has to be built; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs; do
  node --check "$file"
done
