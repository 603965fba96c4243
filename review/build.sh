#!/bin/sh
# The stand-ins are Python programs that need the standard library only, so there is
# nothing to build. This checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in actors/*.py */case.py; do
    if [ -e "$file" ]; then python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"; fi
done
