#!/usr/bin/env bash
# Runs the case from the root of the repository; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-8 ] || exit 2
exec target/review-2/case-8 review/8/record.txt
