#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py ?/run.py; do
  [ -e "$file" ] && python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
