#!/usr/bin/env bash
# Checks the format of all tracked C files and lints those that are part of the build.
# Usage: lint.sh BUILD
set -eu
build=$1
mapfile -t files < <(git ls-files -- '*.c' '*.h')
clang-format --dry-run -Werror "${files[@]}"
# clang-tidy needs the compiler flags of the build, so files outside of it are left out. It gets one
# file per process: with several, clang 14 reports false positives about va_list.
mapfile -t sources < <(git ls-files -- '*.c' | while read -r f; do
  grep -q "\"file\": \".*/$f\"" "$build/compile_commands.json" && echo "$f"; done)
# The platform's headers, keys, and paths belong in platform/. Its stand-in in tests/ and deploy/ use
# them, too.
names='X-(Tenant|Response-Seal|Request-Id|Expect-Instance|Expect-Version|Not-Executed|Server-Load|Prompt-Prefix|Pin-Ms|Hold|Token-Budget|Token-Count|Previous-Turn|Program-Id|Session-Id|Kv-Backup)|Kv-(From|Fetch)|/-/(kv-|resolve|ready|report|hold)|op/(config|retire)|status/retire'
if git grep -nIE "$names" -- '*.c' '*.h' ':!platform' ':!tests' ':!bench'; then
  echo "lint: names of the platform outside platform/" >&2
  exit 1
fi
printf '%s\n' "${sources[@]}" | xargs -P 8 -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files formatted, ${#sources[@]} linted, clean"
