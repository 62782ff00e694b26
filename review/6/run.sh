#!/bin/sh
# 400 changes of a configuration of 3,150 routes, as after nine big_config (TROUBLE=0: of 4 routes).
here=$(cd "$(dirname "$0")" && pwd)
"$here/../common-2/run-case.sh" "$here" review.case6.ManyChanges 400 3150
