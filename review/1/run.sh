#!/bin/sh
# Exits with 1 if an order ran twice, or ran although it was refused as not run.
cd "$(dirname "$0")/../.." && exec python3 review/1/case.py
