#!/bin/sh
# Runs a case: run-case.sh NAME FOLDER TROUBLE. Ends with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
name=$1
folder=$2
trouble=$3
root=$(cd "$(dirname "$0")/../.." && pwd)
case_program=$root/review/kit-2/target/release/review-case
for program in "$case_program" "$root/target/release/applewall"; do
    if [ ! -x "$program" ]; then
        echo "could not run: ${program#"$root"/} is not built"
        exit 2
    fi
done
TROUBLE=$trouble exec "$case_program" "$name" "$root" "$folder/record.txt"
