#!/bin/bash
# Runs the case of the folder $1: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/build/case-$(basename "$folder")
# The command of the deploy file, without the settings file; it is run from the repository's root.
command=$(sed -n 's/^run = "\(.*\)"/\1/p' "$root/deploy/service.toml")
if [ ! -x "$program" ] || [ ! -x "$root/${command%% *}" ]; then
  echo "build the deploy file's controller and run review/build.sh first" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
cd "$root" || exit 2
# The driver ends the controllers that it started, also when it is ended itself.
TROUBLE=${TROUBLE:-1} LOG_LEVEL=${LOG_LEVEL:-info} timeout -k 1 117 \
  "$program" "$command" "$work" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
