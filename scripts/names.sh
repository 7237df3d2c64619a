#!/usr/bin/env bash
# Checks that the names of the users' platform stay in platform/: its headers,
# calls and tables are decoded there once. Simulators and tests speak them, too.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Arbutuslink-[A-Z]|/arbutuslink/(ready|resolve|rows|blob)|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|api_keys|traffic_split|latency_target|warmup_left'
if git grep -n -E "$names" -- '*.go' ':!platform' ':!pkg/lab' ':!*_test.go'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
