#!/usr/bin/env bash
# Builds what the cases start: the program of the deploy file, if it is not built yet, and the stand-ins in review/lib, which are
# plain JavaScript and are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -f target/entry.mjs ] && [ -f target/relay_node.cjs.code ] || bash -c "$build"
for file in review/lib/*.mjs review/[0-9]/*.mjs; do
    node --check "$file"
done
