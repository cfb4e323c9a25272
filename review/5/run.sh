#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x "$folder/case" ] || exit 2
exec "$folder/case" "${TROUBLE:-1}" "$folder/record.txt"
