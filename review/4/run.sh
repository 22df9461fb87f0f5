#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/release/review-standin ] || exit 2
[ -x target/release/filbertbend-platform ] || exit 2
exec target/review/release/review-standin late-store "$here/record.txt"
