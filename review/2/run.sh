#!/usr/bin/env bash
# The settings files change (grace_s becomes 5.5), then the instances are
# restarted in turn. TROUBLE=0: the files don't change. Exits with 1 if a rule
# was broken: the programs don't start again, or nothing is served afterwards.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/settings ] || exit 2
exec target/review/settings review/2/record.txt
