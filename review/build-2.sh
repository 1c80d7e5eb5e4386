#!/bin/sh
# Builds the stand-ins of the second review's scripts: compiles them to byte code.
# They need Python 3.11 and nothing else; the deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/second
