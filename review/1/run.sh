#!/bin/sh
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves both disruptions out, TROUBLE=slow only the answers without a length;
# with TROUBLE=reset runners reset the connections of these where they stop their runs.
cd "$(dirname "$0")/../.." || exit 2
program="$PWD/target/doormastd"
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
target/review/1 "$program" "$dir" review/1/record.txt
