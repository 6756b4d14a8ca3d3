#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh, and writes record.txt in this folder. The exit code is 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
exec target/rig2 batch review/8 "${TROUBLE:-1}"
