#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review3 -o target/review-3 ./review/cases-3
