#!/usr/bin/env bash
# Plays the case whose number is given; see the case's claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
case=$1
# The command of the deploy file that starts a client proxy, without what follows it on its line.
RUN=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
program="review/bin/case-$case"
if [ -z "$RUN" ] || [ ! -x "$program" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export RUN CASE_TMP
"$program" "review/$case/record.txt"
code=$?
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
