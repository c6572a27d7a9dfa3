#!/usr/bin/env bash
# Runs the case that claim.txt describes.
exec "$(dirname "$0")/../run-case-3.sh" survivors "$(dirname "$0")"
