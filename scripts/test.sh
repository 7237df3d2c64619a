#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt. Arguments go to go test.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
names=$(scripts/known-red.sh)
[ -z "$names" ] || skip=(-skip "$names")
# The scenario and soak tests run fleets of processes with time limits in seconds,
# so they run alone: in parallel with the simulations of the other packages, a
# scenario failed in 1 of 5 runs.
alone=(./pkg/lab/scenario ./pkg/lab/soak)
mapfile -t packages < <(go list ./... | grep -v -E '/pkg/lab/(scenario|soak)$')
go test "${skip[@]}" "$@" "${packages[@]}"
for package in "${alone[@]}"; do
  go test "${skip[@]}" "$@" "$package"
done
