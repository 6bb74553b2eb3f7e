#!/bin/sh
# Usage: review/repeat.sh N [TIMES]   runs a case's script five times with the disruption and once without it.
cd "$(dirname "$0")"
for run in $(seq "${2:-5}"); do
  ./"$1"/run.sh && status=0 || status=$?
  echo "case $1, run $run: exit status $status"
done
TROUBLE=0 ./"$1"/run.sh && status=0 || status=$?
echo "case $1, TROUBLE=0: exit status $status"
# Leaves a record with the disruption behind.
./"$1"/run.sh >/dev/null || true
