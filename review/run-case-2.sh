#!/usr/bin/env bash
# Plays the case in the folder that is given; see its claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$1" && pwd) || exit 2
ROOT=$(cd "$here/../.." && pwd) || exit 2
RECORD="$here/record.txt"
program="$ROOT/target/review-2/case-$(basename "$here")"
if [ ! -x "$program" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export ROOT RECORD CASE_TMP
play=

# The program ends its client proxies itself. If it was ended before it could, they are ended here: those of its
# list that still have this case's folder in their environment.
end_processes() {
    [ -z "$play" ] || kill -KILL "$play" 2>/dev/null
    for id in $(cat "$CASE_TMP/processes" 2>/dev/null); do
        if grep -qsF "$CASE_TMP" "/proc/$id/environ"; then kill -KILL "$id" 2>/dev/null; fi
    done
    # A process that has ended has no environment any more. None may be left when the script ends.
    for id in $(cat "$CASE_TMP/processes" 2>/dev/null); do
        for _ in $(seq 100); do
            grep -qsF "$CASE_TMP" "/proc/$id/environ" || break
            sleep 0.02
        done
    done
    # What the client proxy itself wrote belongs to the record.
    if [ -f "$CASE_TMP/client-proxy.log" ]; then
        { echo "--- the client proxy's own log"; cat "$CASE_TMP/client-proxy.log"; } >> "$RECORD"
    fi
    rm -rf "$CASE_TMP"
}
trap 'end_processes; exit 2' HUP INT TERM

"$program" &
play=$!
wait "$play"
code=$?
play=
end_processes
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
