#!/bin/sh
# Prepares the stand-ins that the cases' scripts start, after `build` of deploy/balancer.toml. They are Python programs
# that use the standard library alone, so nothing is compiled: this checks that they can be read and that the program is
# there. No stand-in of the project itself is used.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
[ -x ../target/release/ochreward ] || { echo "target/release/ochreward is missing: run the build of deploy/balancer.toml"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 python3 - stand/*.py */case.py entries/*/case.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY
