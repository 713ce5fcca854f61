#!/usr/bin/env bash
# Checks that docs/OPERATIONS.md documents every counter, histogram, and log event of the code and no
# log event that the code does not have. Usage: operations_page.sh SOURCE_FOLDER
set -u
cd "$1" || exit 1
page=docs/OPERATIONS.md
failures=0

fail() {
  echo "$*"
  failures=$((failures + 1))
}

# Names in the table of counters: COUNTS ("name", ...) gets "_total", GAUGES does not.
counters=$(tr '\n' ' ' <core/counter.c | grep -oE '(COUNTS|GAUGES) \("[a-z_]+"' \
  | sed -E 's/COUNTS \("(.*)"/\1_total/; s/GAUGES \("(.*)"/\1/')
for name in $counters; do
  grep -q "\`$name\`" "$page" || fail "counter $name is not documented"
done

histograms=$(tr '\n' ' ' <core/histogram.c | grep -oE 'MILLISECONDS \("[a-z_]+"' \
  | sed -E 's/MILLISECONDS \("(.*)"/\1/')
for name in $histograms; do
  grep -q "\`$name\`" "$page" || fail "histogram $name is not documented"
done

# The second argument of log_event and log_request; both names if it is a conditional expression.
sources=$(cat core/*.c core/gateway/*.c adapters/*.c daemon/*.c gateway/*.c | tr '\n' ' ')
events=$({ echo "$sources" | grep -oE 'log_(event|request) \([^,]*,[^,]*,' | grep -oE '"[a-z_]+"'
  # The names of request failures are in one table.
  echo "$sources" | grep -oE 'failure_words\[\] = [^;]*' | grep -oE '"[a-z_]+"'
} | tr -d '"' | sort -u)
for name in $events; do
  grep -q "\`$name\`" "$page" || fail "event $name is not documented"
done

# The first column of the table under "Log events".
for name in $(sed -n '/^## Log events/,$p' "$page" | grep '^| `' | cut -d'|' -f2 | tr -d '`,'); do
  echo "$events" | grep -qx "$name" || fail "event $name is documented, but not in the code"
done

n_counters=$(echo "$counters" | wc -w)
n_events=$(echo "$events" | wc -w)
[ "$n_counters" -ge 46 ] || fail "only $n_counters counters found"
n_histograms=$(echo "$histograms" | wc -w)
[ "$n_histograms" -ge 11 ] || fail "only $n_histograms histograms found"
echo "$n_counters counters, $n_histograms histograms, $n_events events, $failures failures"
[ "$failures" = 0 ]
