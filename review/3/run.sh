#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../standins/run-case.sh" "$(dirname "$0")"
