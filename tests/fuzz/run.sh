#!/usr/bin/env bash
# Runs one fuzz target with a bounded number of inputs and a fixed seed: the same inputs each time.
# Usage: run.sh TARGET_BINARY NAME MAKE_SEEDS SOURCE_FOLDER
set -eu
target=$1
name=$2
make_seeds=$3
source=$4
runs=${FUZZ_RUNS:-20000}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/record" "$work/peer" "$work/config" "$work/caller" "$work/state" "$work/gateway" "$work/credential" "$work/response"
"$make_seeds" "$work"
cp "$source"/examples/*.ini "$work/config"
cp "$source"/tests/fuzz/seeds/caller/* "$work/caller"
cp "$source"/tests/fuzz/seeds/gateway/* "$work/gateway"
cp "$source"/tests/fuzz/seeds/credential/* "$work/credential"
cp "$source"/tests/fuzz/seeds/response/* "$work/response"
# Artifacts go to the build folder, where meson runs this script, and so outlive the run.
"$target" -runs="$runs" -seed=1 -max_len=8192 -timeout=20 -rss_limit_mb=1024 -print_final_stats=1 -verbosity=0 -error_exitcode=1 \
  -artifact_prefix="$name-" "$work/$name"
