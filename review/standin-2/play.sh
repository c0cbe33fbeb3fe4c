#!/usr/bin/env bash
# play.sh SCENARIO DAEMONS: plays a scenario that is no case of its own; the record goes beside this script.
. "$(dirname "$0")/cell.sh"
play "$1" "$2"
