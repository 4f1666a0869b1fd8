#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
target/review/standin frozen-reader review/5/record.txt "$folder"
code=$?
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
