#!/usr/bin/env bash
# Runs a case with review/bin/reviewkit: run-case.sh FOLDER CASE
# Used by the run.sh of each case. Ends every process that the case started.
set -uo pipefail
folder=$(cd "$1" && pwd)
repository=$(cd "$folder/../.." && pwd)
if [ ! -x "$repository/review/bin/reviewkit" ] || [ ! -x "$repository/target/jackdawdeck" ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
scratch=$(mktemp -d)
# The kit and the gateways that it starts share a process group of their own.
set -m
"$repository/review/bin/reviewkit" "$2" "$repository" "$scratch" "$folder/record.txt" &
group=$!
set +m
cleanup() {
  kill -KILL -- "-$group" 2> /dev/null
  rm -rf "$scratch"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
wait "$group"
result=$?
[ "${KEEP:-0}" = 0 ] || cp "$scratch"/*.log "$folder/" 2> /dev/null
case "$result" in
  0 | 1 | 2) exit "$result" ;;
  *) exit 2 ;;
esac
