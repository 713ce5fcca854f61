#!/bin/sh
# Checks the stand-ins of cases 4 to 8. They are Python 3 programs that use the standard library alone, so
# that nothing has to be built; the scripts start no stand-in of tests/standins. Exits with 0 if they can run.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.py [4-8]/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -B -c 'import sys; sys.path.insert(0, "common-2"); import crashing, deployment'
