#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program with the store, the upstreams and the consumers.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2/cases ./review/cases-2
