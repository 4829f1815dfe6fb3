#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exit code 1: the rule was broken, 0: it held,
# 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin="$root/target/review/standin"
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/turmerictackd" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
"$standin" behind "$root" "$here"
code=$?
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then
  code=2
fi
exit "$code"
