"""Builds the executable, a zip application that needs only python3: `make binary`."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "stairquay"


def build(output: Path = OUTPUT) -> Path:
    """Build the binary from this tree and the locked packages, and return its path."""
    output.parent.mkdir(parents=True, exist_ok=True)
    command = [
        str(Path(sys.executable).parent / "shiv"),
        "--console-script",
        "stairquay",
        "--output-file",
        str(output),
        "--python",
        "/usr/bin/env python3",
        "--constraint",
        str(ROOT / "requirements.lock"),
        "--quiet",
        str(ROOT),
    ]
    subprocess.run(command, check=True)
    return output


if __name__ == "__main__":
    print(build())
