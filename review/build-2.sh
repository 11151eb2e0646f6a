#!/bin/sh
# Builds the stand-ins of the scripts of the second review.
set -e
cd "$(dirname "$0")/second"
GOFLAGS=-buildvcs=false go build -o second .
