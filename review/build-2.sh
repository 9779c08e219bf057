#!/bin/sh
# Builds the scripts of this review and the stand-ins that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p dist/review-2
for file in review/6/*.ts review/7/*.ts review/8/*.ts review/9/*.ts review/10/*.ts; do
  [ -f "$file" ] || continue
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 \
    --format=cjs --log-level=warning \
    --outfile="dist/review-2/$(basename "$file" .ts).cjs"
done
