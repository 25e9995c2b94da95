#!/bin/sh
# Builds the stand-ins of the second review, without a network. The program is then
# target/review-standin2. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-standin2 .
