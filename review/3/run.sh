#!/bin/sh
# Runs the case 'fresh' against the pooler that the deploy file builds. TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
target/review/cases fresh "$folder"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
