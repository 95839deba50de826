"""Memory of an engine at the peak of the runs placed there; parts that several runs share count once."""

from dataclasses import dataclass, field

from stairquay.core.holdings import PartKey

SharedParts = tuple[tuple[PartKey, int], ...]
"""Parts of a prompt that other runs may use as well, with their tokens."""


@dataclass
class PlacedMemory:
    """Tokens at the peak of all placed runs, and how many of these runs use each part."""

    peak_tokens: int = 0
    runs_by_part: dict[PartKey, int] = field(default_factory=dict)

    def place(self, parts: SharedParts, tokens: int) -> int:
        """Count a run of `tokens`, prompt and longest output, until `end`. Return what it adds."""
        added_tokens = tokens
        for key, part_tokens in parts:
            runs = self.runs_by_part.get(key, 0)
            self.runs_by_part[key] = runs + 1
            if runs:
                added_tokens -= part_tokens
        self.peak_tokens += added_tokens
        return added_tokens

    def end(self, parts: SharedParts, tokens: int) -> None:
        """Undo `place`."""
        self.peak_tokens -= tokens
        for key, part_tokens in parts:
            runs = self.runs_by_part.pop(key, 0) - 1
            if runs > 0:
                self.runs_by_part[key] = runs
                self.peak_tokens += part_tokens

    def tokens_in_use(self, parts: SharedParts) -> int:
        """Return the tokens of a prompt's leading parts that placed runs use already."""
        tokens = 0
        for key, part_tokens in parts:
            if key not in self.runs_by_part:
                break
            tokens += part_tokens
        return tokens
