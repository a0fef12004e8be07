#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They are Python (3.11 or newer, standard
# library only), so that only their syntax is checked. If the program under
# review is not built yet, it is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - review/lib/*.py review/[1-5]/*.py <<'CHECK'
import subprocess, sys, tomllib
from pathlib import Path
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
system = tomllib.loads(Path("deploy/system.toml").read_text())
if not Path(system["roles"]["entry"]["run"].split()[0]).exists():
    subprocess.run(system["build"], shell=True, check=True,
                   stdout=subprocess.DEVNULL)
CHECK
