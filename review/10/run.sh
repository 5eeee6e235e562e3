#!/bin/sh
# Runs this case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/case-10 review/10
