#!/bin/sh
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
exec sh "$(dirname "$0")/../kit/case.sh" 1 LongBodies
