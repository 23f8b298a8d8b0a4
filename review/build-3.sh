#!/bin/sh
# Checks the stand-ins and scripts of cases 11 to 15. They need nothing but
# Python's standard library, so that there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('python3 is older than 3.11')
for path in [Path('common-3/fleet.py'), *sorted(Path().glob('1[1-5]/case.py'))]:
    ast.parse(path.read_text(encoding='utf-8'), str(path))
PYTHON
