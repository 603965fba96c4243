#!/bin/sh
# Lays out the files of a node under target/: its dependencies in deps/ and its sources
# in app/. Both are compiled here with -OO, so that a start on a small VM does not parse
# sources and keeps no docstrings in memory.
set -eu
if [ ! deploy/requirements.txt -ot target/deps/.built ]; then
    python3 -m pip install -q -U --no-compile --target target/deps -r deploy/requirements.txt
    python3 -OO -m compileall -q target/deps
    touch target/deps/.built
fi
if [ -e target/app/.built ] && [ -z "$(find src deploy -newer target/app/.built)" ]; then
    exit 0
fi
rm -rf target/app.new target/app.old
mkdir -p target/app.new
touch target/app.new/.built
cp -r src/heatherpick deploy/node.py target/app.new/
python3 -OO -m compileall -q target/app.new
# The directory is replaced by renaming, as nodes may be starting from the old one.
if [ -e target/app ]; then mv target/app target/app.old; fi
mv target/app.new target/app
rm -rf target/app.old
