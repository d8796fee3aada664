#!/bin/sh
# Plays the case "versions"; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
target/review/standin case versions review/2
