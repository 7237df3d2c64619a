#!/usr/bin/env bash
# Builds the programs and runs the demonstration.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
exec bin/arbutus-lab demo "$@"
