#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x build/review/2 ] || exit 2
exec build/review/2 review/2 "$run"
