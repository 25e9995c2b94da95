#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd) || exit 2
export REPOSITORY
[ -x ../../target/review-standin2 ] || exit 2
exec ../../target/review-standin2 10 record.txt
