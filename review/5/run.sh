#!/bin/bash
# Runs case 5 and writes record.txt beside this script; TROUBLE=0 leaves the disruption out.
# Build first: the deploy file's command, then review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
record="$here/record.txt"
echo "not run yet" >"$record" || exit 2
cd "$here/../.." || exit 2
for program in target/release/fescuerackd target/review/case5; do
  if [ ! -x "$program" ]; then
    echo "exit 2: $program is not built" | tee "$record"
    exit 2
  fi
done
exec target/review/case5 "$record"
