"""How the cost benchmark reads a profile; wrong shares would send the next change to the wrong place."""

import json

from bench.box_cost import largest_costs, parse_profile
from bench.profiled_box import Sampler, place_of


def test_costs_are_named_once_and_the_event_loop_is_left_out():
    counts = {
        "samples": 1000,
        "running": [["a.py", "leaf", 100]],
        "on_stack": [
            ["loop.py", "run", 990],
            ["a.py", "outer", 300],
            ["a.py", "only_calls_outer", 299],
            ["b.py", "other", 100],
        ],
    }
    profile = parse_profile(counts)
    assert profile.running == [("a.py", "leaf", 0.1)]
    assert largest_costs(profile) == [("a.py outer", 0.3), ("b.py other", 0.1)]


def test_a_profile_has_the_running_function_and_its_callers_and_starts_anew_after_a_dump(tmp_path):
    sampler = Sampler(tmp_path / "profile.json")

    def caller() -> None:
        sampler._sample(0, __import__("sys")._getframe())

    caller()
    sampler._dump()
    counts = json.loads(sampler.path.read_text())
    here = place_of(caller.__code__)
    assert counts["samples"] == 1
    assert counts["running"] == [[*here, 1]]
    assert [*here, 1] in counts["on_stack"] and len(counts["on_stack"]) > 1
    sampler._dump()
    assert json.loads(sampler.path.read_text()) == {"samples": 0, "running": [], "on_stack": []}


def test_functions_of_installed_packages_are_named_without_the_folder_of_the_installation():
    assert place_of(json.dumps.__code__) == ("json/__init__.py", "dumps")
