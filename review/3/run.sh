#!/usr/bin/env bash
# See claim.txt.
exec bash "$(dirname "$0")/../run-case.sh" 3
