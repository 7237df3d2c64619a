#!/usr/bin/env bash
# Builds the pinned development tools into .tools/. Prints nothing if they are up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .tools
sets=("$@")
[ ${#sets[@]} -gt 0 ] || sets=(fmt lint gen buf)
for set in "${sets[@]}"; do
  (cd "tools/$set" && go build -o ../../.tools/ tool)
done
