"""Steps that run the demonstration the way a user does."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from behave import then, when

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_TIMEOUT_S = 120


@when('the demonstration is run')
def run_demo(context: Any) -> None:
    """Run it on addresses derived from the id of this test process."""
    pid = os.getpid()
    base_host = f'127.{220 + pid // 256 % 20}.{pid % 256}'
    command = [sys.executable, 'tools/demo.py', '--base-host', base_host]
    context.demo = subprocess.run(
        command,
        cwd=_ROOT,
        check=False,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )


@then('it prints a curl command and the complete answer with these stages')
def check_demo(context: Any) -> None:
    """Check the output that a user sees."""
    demo = context.demo
    assert demo.returncode == 0, demo.stdout + demo.stderr
    lines = demo.stdout.splitlines()
    assert any(line.startswith('curl ') for line in lines), lines
    answer = json.loads(lines[-1])
    names = [stage['name'] for stage in answer['stages']]
    assert names == [row['stage'] for row in context.table]
    assert answer['output']['text']
