#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are parts of the scripts and need
# only the standard library of Python 3.11, so there is nothing to compile: each
# file is checked for its syntax.
set -e
cd "$(dirname "$0")"
for file in support-2/harness.py 6/case.py 7/case.py 8/case.py 9/case.py \
    10/case.py
do
    [ -f "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
