#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=Case3
here=review/3
if [ ! -f review/target/classes/review/$case.class ] || [ ! -f platform/target/mothrill-platform.jar ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
timeout 115 java -Xmx256m -cp review/target/classes:platform/target/mothrill-platform.jar review.$case $here/record.txt
code=$?
[ $code -le 1 ] && [ -s $here/record.txt ] && tail -1 $here/record.txt | grep -q 'replicas crashed' && exit $code
exit 2
