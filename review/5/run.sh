#!/bin/sh
# Exits with 1 if a planned stop cut requests that a backend was running.
cd "$(dirname "$0")/../.." && exec python3 review/5/case.py
