"""A process that hangs can be asked for the stacks of its threads."""

import subprocess
import sys

from stairquay.adapters.program import STACKS_SIGNAL

HANG = """
import time
from stairquay.adapters.program import write_stacks_on_signal

def hang():
    print("hanging", flush=True)
    time.sleep(30)

write_stacks_on_signal()
hang()
"""


def test_a_process_that_hangs_writes_its_stacks_and_goes_on():
    process = subprocess.Popen(
        [sys.executable, "-c", HANG], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout.readline() == "hanging\n"
        process.send_signal(STACKS_SIGNAL)
        stack = [process.stderr.readline() for _ in range(3)]
        assert any("in hang" in line for line in stack)
        assert process.poll() is None
    finally:
        process.kill()
        process.communicate()
