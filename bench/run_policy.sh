#!/usr/bin/env bash
# Runs all policy experiments and writes their tables to docs/plots/policy-tables.md and the plots
# to docs/plots/policy-*.svg. Usage: bench/run_policy.sh [BUILD [SEEDS [PROCESSES]]]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
seeds=${2:-1..20}
processes=${3:-4}
out=$build/policy
plots=docs/plots
mkdir -p "$out" "$plots"
: >"$out/commands"

# Each line: label, then options of policy_bench.
variants="round_robin --rule round_robin
least_reported --rule least_reported
sticky --rule sticky
fifo --rule fifo
attained --rule attained --ageing 0
attained+ageing --rule attained
program-no-keep --rule program --pause-keep 0
program-latency --rule program --cache-weight 0
program --rule program
program-cache --rule program --cache-weight 1000
program-both --rule program --cache-weight 100 --menu-cache-weight 1000"

add () { # arguments: file, scenario, load, further options, variants
  while read -r label options; do
    echo "$1 --scenario $2 $options $4 --load $3 --label $label"
  done <<<"$5" >>"$out/commands"
}
few=$(grep -E '^(sticky|fifo|attained|program) ' <<<"$variants")
for load in 50 80 95 130; do
  add ample ample $load "" "$variants"
  add scarce scarce $load "" "$variants"
done
for load in 5 50 80 95 100 130; do
  add ample-deadlines ample-deadlines $load "" "$few"
  add scarce-deadlines scarce-deadlines $load "" "$few"
done
for scenario in dawn night slow dead frozen poison; do
  add faults $scenario 80 "" "$variants"
done
for tokens in 40000 60000 80000 100000 130000 160000 200000; do
  add "cache-$tokens" scarce 95 "--cache-tokens $tokens" "$few"
done
for scenario in bench/scenarios/*.ini; do
  add engines "$scenario" 95 "" "$few"
done
for ms in 2000 10000 30000 60000 120000; do
  add "ageing-$ms" scarce 95 "--ageing $ms" "program --rule program"
done

rm -f "$out"/*.jsonl
xargs -P "$processes" -L 1 sh -c 'bench=$0; seeds=$1; out=$2; file=$3; shift 3
  "$bench" "$@" --seed "$seeds" --json >"$out/part.$$" && cat "$out/part.$$" >>"$out/$file.jsonl"
  rm -f "$out/part.$$"' "$build/bench/policy_bench" "$seeds" "$out" <"$out/commands"

# Means over the seeds of each scenario, rule and load, as tab-separated values.
means='group_by([.scenario, .rule, .load])[] | [.[0].scenario, .[0].rule, .[0].load,
  (map(.latency_ms_mean) | add / length / 1000), (map(.latency_ms_p50) | add / length / 1000),
  (map(.latency_ms_p95) | add / length / 1000), (map(.latency_ms_p99) | add / length / 1000),
  (map(.wasted) | add / length), (map(.short_ms_p95) | add / length / 1000),
  (map(.in_time) | add / length), (map(.goodput_per_s) | add / length),
  (map(.refused) | add / length), (map(.late) | add / length), (map(.failed) | add / length),
  (map(.fairness) | add / length), (map(.wait_ms_max) | max / 1000)] | @tsv'
for file in "$out"/*.jsonl; do
  jq -rs "$means" "$file" >"${file%.jsonl}.tsv"
done

table () { # arguments: file, scenario, load
  echo
  echo "$2 at $3% load:"
  echo
  echo "| rule | mean s | p50 | p95 | p99 | wasted | one-call p95 s | in time | goodput /s | refused | late | failed | fairness | longest wait s |"
  echo "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
  awk -F'\t' -v s="$2" -v l="$3" '$1 == s && $3 == l {
    printf "| %s | %.1f | %.1f | %.0f | %.0f | %.3f | %.2f | %.3f | %.3f | %.1f | %.1f | %.1f | %.2f | %.0f |\n",
      $2, $4, $5, $6, $7, $8, $9, $10, $11, $12, $13, $14, $15, $16 }' "$out/$1.tsv"
}
# Ratios to the best of the four baselines with the same seed: mean and maximum over the seeds.
ratios='def best(f): map(select(.rule | IN("round_robin", "least_reported", "sticky", "fifo")) | f) | min;
  map(select(.load == 95)) | group_by(.seed)
  | map(. as $run | map(select(.rule == $rule))[0] as $p
    | {mean: ($p.latency_ms_mean / ($run | best(.latency_ms_mean))),
       p50: ($p.latency_ms_p50 / ($run | best(.latency_ms_p50))),
       p95: ($p.latency_ms_p95 / ($run | best(.latency_ms_p95))),
       wasted: (if $share then $p.wasted / ($run | best(.wasted))
         else $p.wasted - ($run | best(.wasted)) end)})
  | [$rule] + ([.[] | .mean] | [add / length, max]) + ([.[] | .p50] | [add / length, max])
    + ([.[] | .p95] | [add / length, max]) + ([.[] | .wasted] | [add / length, max])
  | @tsv'
goals () { # arguments: file; true: compares the wasted share as a ratio, false: as a difference
  echo
  echo "Ratio to the best baseline of the same run, $1, 95% load: mean over the seeds (worst seed)"
  echo
  echo "| rule | mean latency | p50 | p95 | wasted$([ "$2" = true ] || echo " (difference)") |"
  echo "|---|---|---|---|---|"
  for rule in attained attained+ageing program-no-keep program-latency program program-cache \
    program-both; do
    jq -rs --arg rule "$rule" --argjson share "$2" "$ratios" "$out/$1.jsonl"
  done | awk -F'\t' '{ printf "| %s | %.2f (%.2f) | %.2f (%.2f) | %.2f (%.2f) | %.3f (%.3f) |\n",
    $1, $2, $3, $4, $5, $6, $7, $8, $9 }'
}
overload () { # arguments: file
  echo
  echo "Overload, $1, deadlines enforced: mean over the seeds (worst seed)"
  echo
  echo "| rule | goodput at 130% / at 100% | one-call p95 at 130% / of the same programs alone |"
  echo "|---|---|---|"
  for rule in sticky fifo attained program; do
    jq -rs --arg rule "$rule" 'map(select(.rule == $rule)) | group_by(.seed)
      | map((map(select(.load == 130))[0]) as $o | (map(select(.load == 100))[0]) as $f
        | [$o.goodput_per_s / $f.goodput_per_s, $o.short_ms_p95 / $o.short_ideal_ms_p95])
      | [$rule, (map(.[0]) | add / length), (map(.[0]) | min), (map(.[1]) | add / length),
         (map(.[1]) | max)] | @tsv' "$out/$1.jsonl"
  done | awk -F'\t' '{ printf "| %s | %.2f (%.2f) | %.2f (%.2f) |\n", $1, $2, $3, $4, $5 }'
}
{
  echo "# Policy experiments: tables"
  echo
  echo "Written by bench/run_policy.sh, seeds $seeds. See [POLICY.md](../POLICY.md)."
  goals scarce true
  goals ample false
  overload scarce-deadlines
  overload ample-deadlines
  for load in 50 80 95 130; do table scarce scarce $load; done
  for load in 50 80 95 130; do table ample ample $load; done
  for load in 5 50 80 95 100 130; do table scarce-deadlines scarce-deadlines $load; done
  for load in 5 50 80 95 100 130; do table ample-deadlines ample-deadlines $load; done
  for scenario in dawn night slow dead frozen poison; do table faults $scenario 80; done
  for tokens in 40000 60000 80000 100000 130000 160000 200000; do
    echo
    echo "Cache of $tokens tokens an engine:"
    table "cache-$tokens" scarce 95
  done
  for scenario in bench/scenarios/*.ini; do
    table engines "$(basename "$scenario")" 95
  done
  for ms in 2000 10000 30000 60000 120000; do
    echo
    echo "Ageing of $ms ms:"
    table "ageing-$ms" scarce 95
  done
} >"$plots/policy-tables.md"

lines () { # arguments: name, title, y label, file, scenario, column, rules...
  local name=$1 title=$2 label=$3 file=$4 scenario=$5 column=$6 rule plot=""
  shift 6
  for rule in "$@"; do
    awk -F'\t' -v s="$scenario" -v r="$rule" -v c="$column" \
      '$1 == s && $2 == r { print $3, $c }' "$out/$file.tsv" | sort -n >"$out/$name-$rule.dat"
    plot="$plot${plot:+, }'$out/$name-$rule.dat' with linespoints title '$rule'"
  done
  gnuplot <<PLOT
set terminal svg size 720,420 background 'white'
set output '$plots/policy-$name.svg'
set title '$title'
set xlabel 'load, % of capacity'
set ylabel '$label'
set yrange [0:]
set key outside right noenhanced
set grid
plot $plot
PLOT
}
all="round_robin least_reported sticky fifo attained attained+ageing program program-cache"
for regime in ample scarce; do
  lines "$regime-mean" "Program latency, cache $regime" 'mean, s' $regime $regime 4 $all
  lines "$regime-p95" "Program latency, cache $regime" 'p95, s' $regime $regime 6 $all
  lines "$regime-wasted" "Prefix tokens computed again, cache $regime" 'share' $regime $regime 8 $all
  lines "$regime-goodput" "Programs within their deadline, cache $regime" 'a second' \
    $regime-deadlines $regime-deadlines 11 sticky fifo attained program
  lines "$regime-short" "Programs of one call, cache $regime" 'p95, s' \
    $regime-deadlines $regime-deadlines 9 sticky fifo attained program
done

for rule in sticky attained program; do
  for tokens in 40000 60000 80000 100000 130000 160000 200000; do
    awk -F'\t' -v r=$rule -v t=$tokens '$2 == r { print t / 1000, $4, $8 }' "$out/cache-$tokens.tsv"
  done >"$out/cache-$rule.dat"
done
awk -F'\t' '$2 ~ /^(sticky|attained|program)$/ { v[$1, $2] = $4; s[$1] = 1 }
  END { for (x in s) print x, v[x, "sticky"], v[x, "attained"], v[x, "program"] }' \
  "$out/faults.tsv" | sort >"$out/faults.dat"
gnuplot <<PLOT
set terminal svg size 720,420 background 'white'
set key outside right noenhanced
set grid
set yrange [0:]
set output '$plots/policy-cache-size.svg'
set title 'Program latency and the size of the cache, 95% load'
set xlabel 'cache of one engine, thousand tokens'
set ylabel 'mean, s'
plot for [r in "sticky attained program"] '$out/cache-'.r.'.dat' using 1:2 with linespoints title r
set output '$plots/policy-faults.svg'
set title 'Program latency under faults and bursts, cache scarce, 80% load'
set xlabel ''
set style data histogram
set style fill solid 0.6
plot '$out/faults.dat' using 2:xtic(1) title 'sticky', '' using 3 title 'attained', \
  '' using 4 title 'program'
PLOT
echo "wrote $plots/policy-tables.md and $(ls "$plots"/policy-*.svg | wc -l) plots"
