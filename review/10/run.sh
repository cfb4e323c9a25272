#!/usr/bin/env bash
# Runs the case from the root of the repository; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 review/10/record.txt
