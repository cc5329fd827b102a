#!/bin/sh
# Sends requests and items whose paths begin with two slashes.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 plays the same without the second slash.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/standin3 ] || [ ! -x target/bilberryshelf ]; then
	echo "build first: the build of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
exec target/standin3 slash "review/12/record.txt"
