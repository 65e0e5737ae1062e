#!/usr/bin/env bash
# The stand-ins of the third review are plain Node.js modules without dependencies; this checks that each can be
# loaded and that the program of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e target/router.mjs ] || node scripts/bundle.mjs
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
