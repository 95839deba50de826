"""A day of a small site file, played with real processes; see tests.site_days."""

import asyncio
from pathlib import Path

from tests.site_days.player import play_day
from tests.site_days.site_file import read_site_file

SITE = Path(__file__).parent / "site_days" / "small.toml"
SEED = 1


def test_every_line_of_the_budget_holds_on_a_day_of_a_small_site():
    """Guards against repeats above the budget, and requests that reach endpoints which they crash or which
    rest, where several troubles of one deployment meet."""
    site = read_site_file(SITE)
    day = next(iter(site.days_by_name.values()))
    outcome = asyncio.run(play_day(site, day, SEED))
    assert not outcome.lines.broken, outcome
    assert not outcome.not_played, outcome
    assert max(outcome.lines.crashes.values()) >= 3 and sum(outcome.lines.repeats.values()) >= 10, outcome
    assert sum(outcome.begun_by_kind.values()) > outcome.requests / 2, outcome
