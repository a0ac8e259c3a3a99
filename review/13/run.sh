#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sequoiagw ] && [ -x target/review-3/review-3 ] || exit 2
exec target/review-3/review-3 pipelined-stop review/13
