#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They are Python (3.11 or newer, standard
# library only), so that only their syntax is checked. The program under review
# is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [1-5]/*.py <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
CHECK
