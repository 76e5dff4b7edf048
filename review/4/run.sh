#!/usr/bin/env bash
# An instance freezes for four seconds; clients open flows through the other one
# meanwhile. TROUBLE=0: it does not freeze. Exits with 1 if FLOW (b) was broken.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/freeze ] || exit 2
exec target/review/freeze review/4/record.txt long
