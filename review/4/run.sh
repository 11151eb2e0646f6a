#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. It needs the build of
# deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/standin ] || exit 2
exec review/standin crashed review/4
