#!/usr/bin/env bash
# The stand-ins of all cases, the project's own in scripts/lib too, are Python programs that
# need no build. Checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib"); import standins'
