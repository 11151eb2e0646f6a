#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start.
set -eu
cd "$(dirname "$0")"
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOWORK=off go build -o standin .
