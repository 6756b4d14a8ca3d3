#!/bin/sh
# Builds what the cases 11 to 15 start beside target/gate, which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/rig3 ./review/rig3
