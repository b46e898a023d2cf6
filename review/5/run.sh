#!/usr/bin/env bash
# Exit status: 1 the rule is broken, 0 it holds, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib exec python3 case_test.py
