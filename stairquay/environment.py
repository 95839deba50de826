"""Streams and environment variables of the command line, passed in so that tests can replace them."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(frozen=True)
class Environment:
    """Streams and environment variables of one run."""

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: dict(os.environ))

    def write_line(self, line: str) -> None:
        """Write a line to standard output."""
        print(line, file=self.stdout)

    def write_error(self, line: str) -> None:
        """Write an error line to standard error."""
        print(f"stairquay: {line}", file=self.stderr)
