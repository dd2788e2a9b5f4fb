#!/usr/bin/env bash
# Puts the dependencies and the project's own libraries under target/deps,
# compiled, so that a start costs little processor time. Dependencies are only
# fetched again when their list has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -e target/.installed ] || [ deploy/requirements.txt -nt target/.installed ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --upgrade --constraint constraints.txt \
        --target "$deps" --requirement deploy/requirements.txt
    touch target/.installed
fi
rm -rf "$deps/sardinepier"
mkdir -p "$deps/sardinepier"
for source in libraries/*/src/sardinepier/*; do
    cp -r "$source" "$deps/sardinepier/"
done
python3 -m compileall -q "$deps/sardinepier"
