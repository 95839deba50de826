"""Starts a box that samples its own stacks, for `bench.box_cost`; the product has no such switch.

A timer of the process's processor time interrupts it, so that idle time isn't sampled. On DUMP_SIGNAL the
samples taken since the last one are written to the file that PROFILE_VARIABLE names.
"""

import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path
from types import CodeType, FrameType

PROFILE_VARIABLE = "BOX_COST_PROFILE"
DUMP_SIGNAL = signal.SIGUSR2

SAMPLE_INTERVAL_S = 0.001
"""Processor seconds between two samples. The kernel's timer may make it longer."""

PACKAGE_FOLDERS = ("site-packages", f"python{sys.version_info.major}.{sys.version_info.minor}")


def place_of(code: CodeType) -> tuple[str, str]:
    """Return a function's file, without the folder that its package is in, and its qualified name."""
    parts = Path(code.co_filename).parts
    for folder in PACKAGE_FOLDERS:
        if folder in parts:
            return "/".join(parts[len(parts) - parts[::-1].index(folder) :]), code.co_qualname
    return "/".join(parts[-2:]), code.co_qualname


class Sampler:
    """Counts sampled functions: those that ran, and those that were on the stack."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.samples = 0
        self.running: Counter[CodeType] = Counter()
        self.on_stack: Counter[CodeType] = Counter()

    def start(self) -> None:
        """Start sampling."""
        # Otherwise each sample would wake the event loop, which would be counted as the product's cost.
        signal.set_wakeup_fd = lambda *_, **__: -1  # type: ignore[assignment]
        signal.signal(signal.SIGPROF, self._sample)
        signal.signal(DUMP_SIGNAL, self._dump)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)

    def _sample(self, _: int, frame: FrameType | None) -> None:
        if frame is None:
            return
        self.samples += 1
        self.running[frame.f_code] += 1
        seen = set()
        while frame is not None:
            seen.add(frame.f_code)
            frame = frame.f_back
        self.on_stack.update(seen)

    def _dump(self, *_: object) -> None:
        counts = {
            "samples": self.samples,
            "running": [[*place_of(code), count] for code, count in self.running.most_common()],
            "on_stack": [[*place_of(code), count] for code, count in self.on_stack.most_common()],
        }
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(counts))
        written.rename(self.path)
        self.samples = 0
        self.running.clear()
        self.on_stack.clear()


def main() -> None:
    from stairquay.__main__ import run

    sys.argv[0] = "stairquay"
    path = os.environ.get(PROFILE_VARIABLE)
    if path:
        Sampler(Path(path)).start()
    run()


if __name__ == "__main__":
    main()
