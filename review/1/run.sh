#!/bin/bash
# Case 1, see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(dirname "$0")
exec bash "$here/../run_case.sh" "$here" late_repeat
