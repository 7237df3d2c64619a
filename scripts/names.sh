#!/usr/bin/env bash
# Checks that only platform/ uses the names of the users' platform (headers, calls,
# tables), so that they are decoded in one place. Simulators and tests are exempt.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Arbutuslink-[A-Z]|/arbutuslink/(ready|resolve|rows|blob)|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|api_keys|traffic_split|latency_target|warmup_left'
if git grep -n -E "$names" -- '*.go' ':!platform' ':!pkg/lab' ':!*_test.go'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
