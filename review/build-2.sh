#!/bin/sh
# The stand-ins of review/6 to review/10 are Python 3 scripts (review/rig) without
# dependencies; there is nothing to build. Checks that they can be loaded.
cd "$(dirname "$0")/rig" && exec python3 -c "import rig"
