#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js modules: this only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
