#!/usr/bin/env bash
# An instance freezes for one second while clients open flows through it.
# TROUBLE=0: it does not freeze. Exits with 1 if FLOW (b) was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/freeze ] || exit 2
exec target/review/freeze review/1/record.txt short
