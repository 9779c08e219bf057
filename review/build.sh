#!/usr/bin/env bash
# Prepares the cases. The stand-ins are plain modules of Node.js without
# dependencies, so that there is nothing to compile; this checks their syntax and
# that the build of the deploy file has run.
set -eu
cd "$(dirname "$0")/.."
test -f target/parsleypond.cjs
test -f target/peer.secret
for file in review/shared/*.mjs review/[1-5]/*.mjs; do
  node --check "$file"
done
echo "Built the stand-ins of the review."
