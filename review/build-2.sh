#!/bin/sh
# Bundles the cases of the second review, with the stand-ins of the project that they use, into target/review-2, without a network.
set -e
cd "$(dirname "$0")/.."
for source in review/harness-2/case-*.ts; do
  name=$(basename "$source" .ts)
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=esm --log-level=error \
    --outfile="target/review-2/$name.mjs" \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
done
