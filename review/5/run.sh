#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec node target/review/5/case.mjs
