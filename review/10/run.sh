#!/bin/sh
# Runs the case; see claim.txt. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
trap 'rm -rf "$CASE_FOLDER"' EXIT
timeout -k 2 115 target/review-2/case10 review/10
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
