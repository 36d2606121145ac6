#!/usr/bin/env bash
# Checks what the scripts of this review start. The stand-ins are plain modules of Node.js and need no build; the nodes come from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.mjs [0-9]*/run.mjs; do
    node --check "$file"
done
[ -s ../target/entry.cjs ] || { echo "target/entry.cjs is missing: run the build of deploy/system.toml first" >&2; exit 1; }
