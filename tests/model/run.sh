#!/usr/bin/env bash
# Checks a model with Spin, exhaustively within each set of bounds, and requires a violation in every
# mutant, each of which lacks one guard. Usage: run.sh MODEL
set -u
model=$(realpath "$1")
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# check NAME FLAGS...: runs the verifier in $folder/NAME, which becomes the working folder, and writes
# its output to the file out.
check () {
  local name=$1
  shift
  mkdir -p "$folder/$name" && cd "$folder/$name" || return 1
  spin -a "$@" "$model" > spin.out 2>&1 || { cat spin.out; return 1; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c || return 1
  ./pan -E -m10000 > out 2>&1
}

case $(basename "$model") in
takeover.pml)
  # Two calls on two branches; one call, resent across two takeovers; two calls and two takeovers.
  sound=(
    "two-calls:-DMAX_CLAIMS=1"
    "two-takeovers:-DN_CALLS=1"
    "both:-DMAX_LATE=0 -DMAX_HANDOFFS=0"
  )
  mutants="READ_BEFORE_SEAL INTENT_AFTER_DISPATCH ACKNOWLEDGE_BEFORE_APPEND LOWER_EPOCH_ACCEPTED
    SEAL_DELETED MAP_BEFORE_SNAPSHOT HANDOFF_WHILE_IN_FLIGHT HANDOFF_BEFORE_DURABLE"
  mutant_flags=-DMAX_CLAIMS=1
  ;;
quota_lease.pml)
  # One owner at a time; two owners for a moment.
  sound=("one-owner:-DMAX_OVERLAPS=0" "two-owners:-DMAX_OVERLAPS=1")
  mutants="FULL_AT_START ANY_RETURN"
  mutant_flags=-DMAX_OVERLAPS=1
  ;;
*)
  echo "unknown model $model"
  exit 1
  ;;
esac
for entry in "${sound[@]}"; do
  name=${entry%%:*}
  # shellcheck disable=SC2086
  if check "$name" ${entry#*:} && grep -q 'errors: 0' out && ! grep -qE 'not completed|too small' out; then
    echo "ok: $name holds, $(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' out) states"
  else
    echo "FAILED: $name"
    grep -E 'assertion violated|errors:|not completed|too small' out
    failures=$((failures + 1))
  fi
done

for mutant in $mutants; do
  if check "$mutant" "-D$mutant" "$mutant_flags" && grep -q 'assertion violated' out; then
    echo "ok: mutant $mutant is caught: $(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' out)"
  else
    echo "FAILED: mutant $mutant is not caught"
    failures=$((failures + 1))
  fi
done
echo "$failures failures"
[ "$failures" = 0 ]
