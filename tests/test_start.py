"""What a box loads when it starts: hundreds of boxes start together after a loss of power."""

import subprocess
import sys

from stairquay.box import plain_metrics_port

LOAD = """
import stairquay.box
import stairquay.platform.boot, stairquay.platform.surroundings, stairquay.serving.app
import sys
print(*sys.modules)
"""

NOT_NEEDED = {"cyclopts", "cattrs", "json5", "stairquay.cli", "stairquay.adapters.settings"}


def test_a_box_does_not_load_what_it_does_not_need():
    done = subprocess.run([sys.executable, "-c", LOAD], capture_output=True, text=True, check=True)
    assert not NOT_NEEDED & set(done.stdout.split())


def test_the_usual_arguments_start_a_box_and_all_others_go_to_the_command_line():
    assert plain_metrics_port(["box"]) == 0
    assert plain_metrics_port(["box", "--metrics-port", "7700"]) == 7700
    for args in ([], ["entry", "x"], ["box", "--help"], ["box", "FILE"], ["box", "--metrics-port", "many"]):
        assert plain_metrics_port(args) is None
