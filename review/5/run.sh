#!/bin/bash
# Runs the case after the build of the deploy file and review/build.sh; the exit code is 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case5
