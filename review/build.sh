#!/usr/bin/env bash
# Checks that the stand-ins can run. They are Python programs that use only the
# standard library, so nothing is compiled; the program under review comes from
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for source in review/standins/*.py review/[1-5]/*.py; do
  [ -e "$source" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
