#!/usr/bin/env bash
# Fuzzes the parsers of requests, responses, datagrams and trails in logs. The argument is the time for each
# fuzz test, such as 30s. Failing inputs are stored as seeds under testdata/fuzz.
set -euo pipefail
cd "$(dirname "$0")/.."
for target in FuzzTargetResponse FuzzCallerRequest FuzzKeyNeverReachesTarget; do
  go test -run '^$' -fuzz "^$target\$" -fuzztime "${1:-10s}" ./pkg/proxy
done
go test -run "^$" -fuzz "^FuzzDatagram\$" -fuzztime "${1:-10s}" ./pkg/edge
go test -run "^$" -fuzz "^FuzzParseTrail\$" -fuzztime "${1:-10s}" ./pkg/explain
