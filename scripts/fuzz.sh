#!/usr/bin/env bash
# Runs the fuzz tests. The argument is the time for each, such as 30s.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./scripts/fuzz "$@"
