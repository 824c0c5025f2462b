#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. They are Python, of the standard library alone (python3
# comes with the packages of the deploy file), so this only checks that they compile. The controller
# itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing: install the packages of deploy/service.toml"; exit 1; }
for file in standins-2/*.py [4-8]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -c 'import asyncio, json, socket, sys; sys.exit(sys.version_info < (3, 8))'
echo "the stand-ins compile"
