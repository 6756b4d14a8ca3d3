#!/bin/bash
# Builds the program of each case that is a script, with the stand-ins that it starts, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[0-9]/main.go; do
  n=$(basename "$(dirname "$main")")
  go build -tags review -o "target/review/case$n" "./review/$n"
done
