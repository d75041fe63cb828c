#!/bin/sh
# Builds the stand-ins of the scripts: byte code only, there is nothing else to build.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins
