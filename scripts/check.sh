#!/usr/bin/env bash
# Checks the formatting, runs the linters, and checks that generated code and the list of
# guards are current.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/tools.sh
unformatted=$(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$' | xargs -r .tools/gofumpt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted with gofumpt:" "$unformatted" >&2
  exit 1
fi
scripts/names.sh
go vet ./...
.tools/staticcheck ./...
.tools/revive -set_exit_status -config revive.toml -exclude ./pkg/peer/peerpb/... ./...
scripts/generate.sh
git diff --exit-code -- pkg/peer/peerpb
go run ./scripts/guards --check
