#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts that need only the standard library: this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
for name in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py") + glob.glob("probes/*.py") + glob.glob("probes/*/case.py")):
    with open(name) as file:
        compile(file.read(), name, "exec")
PYTHON
echo "the stand-ins are ready"
