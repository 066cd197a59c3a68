#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/10 ] || exit 2
build/review/10 review/10
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
