#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the kill out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/release/review-2 ] && [ -x target/release/skylarkflow ] || exit 2
exec target/review-2/release/review-2 config "$folder"
