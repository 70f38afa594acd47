#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/platform/filbert-entry
driver=target/review/case_group
[ -x "$program" ] && [ -x "$driver" ] || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout -k 5 110 "$driver" "$program" "$scratch" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
