"""Modules that a box imports at start; fewer imports make a restart of many boxes faster."""

import subprocess
import sys

from stairquay.box import parse_plain_box_command

PRINT_LOADED_MODULES = """
import stairquay.box
import stairquay.platform.boot, stairquay.platform.surroundings, stairquay.serving.app
import sys
print(*sys.modules)
"""

UNNEEDED_MODULES = {"cyclopts", "cattrs", "json5", "stairquay.cli", "stairquay.adapters.settings"}


def test_a_box_does_not_load_what_it_does_not_need():
    done = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_MODULES], capture_output=True, text=True, check=True
    )
    assert not UNNEEDED_MODULES & set(done.stdout.split())


def test_the_usual_arguments_start_a_box_and_all_others_go_to_the_command_line():
    assert parse_plain_box_command(["box"]) == 0
    assert parse_plain_box_command(["box", "--metrics-port", "7700"]) == 7700
    for args in ([], ["entry", "x"], ["box", "--help"], ["box", "FILE"], ["box", "--metrics-port", "many"]):
        assert parse_plain_box_command(args) is None
