#!/usr/bin/env bash
# Formatter and linter over every C file that git tracks.
set -eu
build=$1
mapfile -t files < <(git ls-files -- '*.c' '*.h')
clang-format --dry-run -Werror "${files[@]}"
# clang-tidy reads the flags meson gave; files outside the build (generated code) are left out.
# One file a clang-tidy process: with several, clang 14 reports va_list false positives.
mapfile -t sources < <(git ls-files -- '*.c' | while read -r f; do
  grep -q "\"file\": \".*/$f\"" "$build/compile_commands.json" && echo "$f"; done)
# The platform's headers, keys and paths stand in platform/ alone; its stand-in and deploy/ speak them, too.
names='X-(Tenant|Response-Seal|Request-Id|Expect-Instance|Expect-Version|Not-Executed|Server-Load|Prompt-Prefix|Pin-Ms|Hold|Token-Budget|Token-Count|Previous-Turn|Program-Id|Session-Id|Kv-Backup)|Kv-(From|Fetch)|/-/(kv-|resolve|ready|report|hold)|op/(config|retire)|status/retire'
if git grep -nIE "$names" -- '*.c' '*.h' ':!platform' ':!tests' ':!bench'; then
  echo "lint: names of the platform outside platform/" >&2
  exit 1
fi
printf '%s\n' "${sources[@]}" | xargs -P 8 -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files formatted, ${#sources[@]} linted, clean"
