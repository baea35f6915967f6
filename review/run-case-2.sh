#!/usr/bin/env bash
# Runs the case of the folder that is given: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$1" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program="$root/target/review-2/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/release/client-proxy" ] || { echo "not built"; exit 2; }
rm -f "$here/record.txt" "$here/record.txt.log"
ROOT="$root" RECORD="$here/record.txt" "$program"
code=$?
# What the client proxy itself wrote belongs to the record.
if [ -f "$here/record.txt.log" ]; then
    { echo "--- the client proxy's own log"; cat "$here/record.txt.log"; } >> "$here/record.txt"
    rm -f "$here/record.txt.log"
fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
