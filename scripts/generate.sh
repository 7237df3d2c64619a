#!/usr/bin/env bash
# Generates the Go code of the protobuf messages between instances.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/tools.sh gen buf
PATH="$PWD/.tools:$PATH" .tools/buf generate
