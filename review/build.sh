#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the store, the workers and the
# clients in the rig.py of each case, which need nothing but Python itself. They
# are compiled into target/review, so that an error in them shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[123]/rig.py review/[123]/case.py; do
    name="$(basename "$(dirname "$source")")-$(basename "$source" .py)"
    python3 -c 'import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$source" "target/review/$name.pyc"
done
