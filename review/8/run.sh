#!/bin/sh
# Plays the case. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case ] || exit 2
exec target/review-2/case late_copy review/8/record.txt
