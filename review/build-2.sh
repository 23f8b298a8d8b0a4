#!/bin/bash
# Builds the stand-ins of the second review: Python files that need only the
# standard library, so this checks that the interpreter can compile them.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('python3 has to be 3.11 or later')
for folder in ('common-2', '6', '7', '8', '9', '10'):
    for path in sorted(Path(folder).glob('*.py')):
        ast.parse(path.read_text(encoding='utf-8'), str(path))
        print(f'{path} can be read')
PYTHON
