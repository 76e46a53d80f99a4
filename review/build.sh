#!/bin/sh
# The stand-ins are plain JavaScript that Node.js runs as it stands, so they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in kit/*.mjs [1-9]/*.mjs; do
    node --check "$file"
done
