#!/usr/bin/env bash
# Builds the fuzz targets with clang, ASan, and UBSan, and runs each with a bounded number of inputs.
# Usage: run_fuzz.sh BUILD
set -eu
build=$1
[ -f "$build/build.ninja" ] || CC=clang meson setup "$build" -Dfuzz=true \
  -Db_sanitize=address,undefined -Db_lundef=false
ninja -C "$build" tests/fuzz/make_seeds tests/fuzz/fuzz_caller tests/fuzz/fuzz_config \
  tests/fuzz/fuzz_credential tests/fuzz/fuzz_gateway \
  tests/fuzz/fuzz_peer tests/fuzz/fuzz_record tests/fuzz/fuzz_response tests/fuzz/fuzz_state
meson test -C "$build" --no-rebuild --suite fuzz --print-errorlogs --num-processes 2
