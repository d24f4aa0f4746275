#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
