#!/usr/bin/env bash
# Runs the case in the repository's root. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 it leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
for program in target/release/wisteriawinch target/review-2/standin; do
  [ -x "$program" ] || { echo "$program is missing: build the product, then run review/build-2.sh"; exit 2; }
done
exec target/review-2/standin impatient review/10
