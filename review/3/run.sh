#!/usr/bin/env bash
# Plays the case "cuts": three cell daemons, started with the command of the deploy file, a stand-in of the platform and
# 48 executors on loopback addresses. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# Run after the deploy file's build and review/build.sh. With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
# shellcheck disable=SC2046
exec target/review/standin cuts "$here/record.txt" $(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
