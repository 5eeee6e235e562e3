#!/bin/sh
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x review/target/case-1 || { echo "run review/build.sh first" >&2; exit 2; }
exec review/target/case-1
