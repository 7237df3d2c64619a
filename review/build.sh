#!/usr/bin/env bash
# Builds the stand-ins of the cases: the store, the targets and the callers are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o review/bin/cases ./review/cases
