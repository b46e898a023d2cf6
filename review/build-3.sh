#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. They are
# Python and need nothing but what the deploy file has put under target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review/lib-3
PYTHONPATH=target/deps:review/lib-3 python3 -c 'import callers_test, deployment_test, platform_test'
