#!/bin/sh
# Runs the script of a case five times with and five times without the disruption.
cd "$(dirname "$0")/$1" || exit 2
for trouble in 1 1 1 1 1 0 0 0 0 0; do
  TROUBLE=$trouble ./run.sh >/dev/null
  echo "TROUBLE=$trouble exit $?"
done
