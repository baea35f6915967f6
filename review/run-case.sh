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
play=

# The program ends its client proxies itself. If it was killed, they are ended here: those of its list that still
# have this case's folder in their environment.
end_processes() {
    [ -z "$play" ] || kill -KILL "$play" 2>/dev/null
    for id in $(cat "$CASE_TMP/processes" 2>/dev/null); do
        if grep -qsF "$CASE_TMP" "/proc/$id/environ"; then kill -KILL "$id" 2>/dev/null; fi
    done
    rm -rf "$CASE_TMP"
}
trap 'end_processes; exit 2' HUP INT TERM

"$program" "review/$case/record.txt" &
play=$!
wait "$play"
code=$?
play=
end_processes
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
