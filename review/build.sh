#!/usr/bin/env bash
# The stand-ins are Python: nothing is compiled. Checks that all they need is there,
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import h11, msgspec, trio, pistachioreach.platform.standins.deployment'
for script in review/rig.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
