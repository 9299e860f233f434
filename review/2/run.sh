#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standin/classes ] && [ -f instance/target/vetchrill.jar ] || exit 2
exec timeout -k 5 115 java -Drepository=. -cp review/standin/classes CaseSameId review/2/record.txt
