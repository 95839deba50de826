"""What the command line has around it, in place of globals, so that tests are plain calls."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(frozen=True)
class Environment:
    """Streams and variables of one run of the program."""

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: dict(os.environ))

    def write_line(self, line: str) -> None:
        """Write one line of result."""
        print(line, file=self.stdout)

    def write_error(self, line: str) -> None:
        """Write one line about what went wrong."""
        print(f"stairquay: {line}", file=self.stderr)
