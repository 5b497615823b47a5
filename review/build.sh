#!/usr/bin/env bash
# Bundles the cases with their stand-ins into target/review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/[1-5]/case.mjs --bundle --platform=node --target=node20 --format=esm --out-extension:.js=.mjs --outbase=review --outdir=target/review --log-level=warning
