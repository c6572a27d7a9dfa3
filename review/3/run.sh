#!/usr/bin/env bash
# Sends the answers of a searcher once more, late. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run; TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../run-case.sh" "$(cd "$(dirname "$0")" && pwd)" late-extra
