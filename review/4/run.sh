#!/bin/sh
# Plays the case "garbage"; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
target/review/standin case garbage review/4
