#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/14/case.mjs
