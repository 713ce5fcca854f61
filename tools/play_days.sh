#!/usr/bin/env bash
# Runs the days of deploy/days on one site and prints a line for each. Not part of CI, since it needs
# the platform's bench. Usage: play_days.sh BENCH SITE [JOBS] [DAY...]
set -u
bench=$1
site=$2
jobs=${3:-4}
shift $(($# < 3 ? $# : 3))
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null || exit 1
if [ $# -eq 0 ]; then
  set -- deploy/days/*.toml
fi
printf '%s\n' "$@" | xargs -P "$jobs" -I DAY sh -c \
  "\"$bench\" run \"$site\" DAY --why 'own day' >\"$out/\$(basename DAY .toml)\" 2>&1"
for day in "$@"; do
  name=$(basename "$day" .toml)
  grep -m 1 "^$name " "$out/$name" || { echo "$name: not played"; tail -3 "$out/$name"; }
  grep '^rules broken' "$out/$name"
done
