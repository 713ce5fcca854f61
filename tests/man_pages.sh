#!/usr/bin/env bash
# Checks that the man pages format without warnings and document every command and key of the binary.
# Usage: man_pages.sh BINARY MAN_FOLDER
set -u
binary=$1
folder=$2
failures=0

fail() {
  echo "$*"
  failures=$((failures + 1))
}

for page in "$folder"/*.[15]; do
  warnings=$(LC_ALL=C.UTF-8 MANROFFOPT=-ww man --warnings=w -E UTF-8 -l "$page" 2>&1 >/dev/null)
  [ -z "$warnings" ] || fail "$page: $warnings"
done

# documented PAGE WORD: counts a failure unless a .B or .BR line of PAGE begins with WORD.
documented() {
  grep -qE "^\.(B|BR) \"?$2(\"| |$)" "$folder/$1" || fail "$1 does not document '$2'"
}

while read -r name; do
  documented buckthornhead.1 "${name//-/\\\\-}"
done < <("$binary" --help | sed -nE 's/^  ([a-z-]+) .*/\1/p')

while read -r words; do
  documented buckthornhead-ctl.1 "$words"
done < <("$binary" ctl --help | sed -nE 's/^  ([a-z]+( [a-z]+)?)  .*/\1/p')

# An unknown key's remedy lists the keys of its section.
keys_of() {
  printf '[%s]\nno_such_key = 1\n' "$1" >"$scratch"
  "$binary" check-config "$scratch" 2>&1 | sed -nE 's/.*no_such_key: .*use one of: (.*)/\1/p'
}

scratch=$(mktemp)
trap 'rm -f "$scratch"' EXIT
n_keys=0
for section in instance listen platform threads limits journal homes secrets 'backend b'; do
  for key in $(keys_of "$section"); do
    documented buckthornhead.ini.5 "$key"
    n_keys=$((n_keys + 1))
  done
done
for key in $(keys_of profile); do
  documented buckthornhead-profile.5 "$key"
  n_keys=$((n_keys + 1))
done
# Section [archives] marks the settings of a gateway.
for section in instance listen platform stop directory limits archives; do
  header="[archives]"
  [ "$section" = archives ] && header=""
  keys=$(printf '%s\n[%s]\nno_such_key = 1\n' "$header" "$section" >"$scratch"
    "$binary" check-config "$scratch" 2>&1 | sed -nE 's/.*no_such_key: .*use one of: (.*)/\1/p')
  for key in $keys; do
    documented buckthornhead-gateway.ini.5 "${key%,}"
    n_keys=$((n_keys + 1))
  done
done
[ "$n_keys" -ge 54 ] || fail "only $n_keys keys found"
echo "$n_keys keys, $failures failures"
[ "$failures" = 0 ]
