"""How the regression runs parse a day's report and compare it with the table."""

from bench.regress import MAX_LOSS, compare, parse_report

REPORT = """built in 0.1 s; 1 lines in 1 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                23/17   0.59  0.579  0.932   0.000  0.011  worst windows 0.82; prices 0.324

worth 0.579 = whole day 0.932 (weight 0.7), worst windows 0.820 (weight 0.15) less prices
  -0.0001  1.0 worth broken off early
"""


def test_a_day_counts_with_its_worth_and_may_fall_by_the_noise():
    played = parse_report("site quiet-1 11", REPORT)
    assert played.worth == 0.579 and not played.faults
    assert compare(played, {}) == (compare(played, {})[0], True)
    assert compare(played, {"site quiet-1 11": 0.579 + MAX_LOSS - 0.001})[1]
    line, holds = compare(played, {"site quiet-1 11": 0.579 + MAX_LOSS + 0.001})
    assert not holds and line.endswith("-0.031  FELL")


def test_a_broken_rule_or_a_day_that_was_not_played_fails():
    broken = parse_report("site quiet-1 11", REPORT.replace("\nworth", "\nBROKEN: LOST, 1 time\nworth"))
    assert broken.faults == ("BROKEN: LOST, 1 time",) and not compare(broken, {})[1]
    nothing = parse_report("site quiet-1 11", "cannot be built")
    assert nothing.worth is None and not compare(nothing, {})[1]
