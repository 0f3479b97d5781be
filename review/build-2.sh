#!/bin/sh
# The stand-ins of cases 4 to 8 are Python scripts without packages, so that nothing has to be compiled; the program
# itself is built by deploy/system.toml. Checks that the interpreter is there and that the scripts can be parsed.
set -e
cd "$(dirname "$0")"
exec python3 - stand_ins.py [4-8]/case.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
