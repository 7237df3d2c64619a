#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the outages out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/arbutus-edge ] && [ -x target/review-2/cases ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
CASE=retained CASE_FOLDER="$folder" CASE_RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}" target/review-2/cases
