#!/usr/bin/env bash
# Runs the case of claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not
# run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/cases ] && [ -x target/arbutus-edge ] || exit 2
export TOP=$PWD CASE_FOLDER=$PWD/review/5
exec review/bin/cases -test.run '^TestForeignService$' -test.timeout 110s
