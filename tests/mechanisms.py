"""Mutation test: disables one mechanism at a time in a scratch copy and runs the scenario that covers it.

`python -m tests.mechanisms [NAME]` prints a row for each: the mechanism, the scenario and its failing step.
A scenario that passes without its mechanism is an error.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL = 3
COPIED_PATHS = ("stairquay", "tests", "features", "pyproject.toml")


@dataclass(frozen=True)
class Mechanism:
    """Replaces `before` with `after` in `file`, upon which scenarios named like `scenario` must fail."""

    area: str
    name: str
    file: str
    before: str
    after: str
    scenario: str


MECHANISMS = [
    Mechanism(
        "blocks",
        "the checksum of each block",
        "tests/standins/engine.py",
        "if checksum_of(payload) != block.checksum:",
        "if False:",
        "A block is freed and its space reused",
    ),
    Mechanism(
        "blocks",
        "one import for all",
        "stairquay/router/importing.py",
        "if (request.endpoint, block) not in self.pending",
        "if True",
        "Many requests that return together share one import",
    ),
    Mechanism(
        "blocks",
        "freeing data without a manifest",
        "stairquay/control/upkeep.py",
        "await free_data(self.session, address, key[1], CALL_TIMEOUT_S)",
        "pass",
        "A store box that fills",
    ),
    Mechanism(
        "isolation",
        "the workspace in the key of identities",
        "stairquay/core/identity.py",
        "return hmac.new(secret.encode(), text, hashlib.sha256).digest()",
        'return hmac.new(b"one key", b"for all", hashlib.sha256).digest()',
        "Equal prompts of two workspaces",
    ),
    Mechanism(
        "isolation",
        "our identities over a caller's own",
        "stairquay/entry/openai_requests.py",
        '{**request.body, "kv_transfer_params": params}',
        '{"kv_transfer_params": params, **request.body}',
        "A caller cannot name kept context by guessing",
    ),
    Mechanism(
        "isolation",
        "a session without cookies",
        "stairquay/entry/upstream.py",
        "cookie_jar=DummyCookieJar()",
        "cookie_jar=__import__('aiohttp').CookieJar(unsafe=True)",
        "Cookies of one workspace",
    ),
    Mechanism(
        "version",
        "the weight version in identities",
        "stairquay/core/identity.py",
        "key = version.encode()[: hashlib.blake2b.MAX_KEY_SIZE]",
        'key = b"any version"',
        "old blocks in memory and in store boxes",
    ),
    Mechanism(
        "version",
        "the version that a run expects",
        "stairquay/entry/openai_requests.py",
        '"version": version}',
        '"version": ""}',
        "An engine's report still names the old version",
    ),
    Mechanism(
        "answer",
        "the check of a resume's place",
        "stairquay/entry/relay.py",
        "same_offset = response.headers.get(OFFSET_HEADER) == offset",
        "same_offset = True",
        "A resume that starts at another place",
    ),
    Mechanism(
        "answer",
        "resuming a stream",
        "stairquay/entry/relay.py",
        "for number in range(MAX_RESUME_ATTEMPTS):",
        "for number in range(0):",
        "A stream that is cut after 190 bytes",
    ),
    Mechanism(
        "answer",
        "the check that an answer is whole",
        "stairquay/entry/relay.py",
        "if _is_json(body):",
        "if True:",
        "An answer that is garbage",
    ),
    Mechanism(
        "answer",
        "cancelling a run whose caller is gone",
        "stairquay/entry/relay.py",
        "async with context.run_control_session.delete(url, timeout=ClientTimeout(total=CANCEL_TIMEOUT_S)):",
        "if True:",
        "A caller that goes away cancels its run",
    ),
    Mechanism(
        "answer",
        "cutting the caller where a plain answer broke",
        "stairquay/entry/relay.py",
        "request.transport.abort()",
        "pass",
        "A plain answer that is cut",
    ),
    Mechanism(
        "not run",
        "counting an attempt as sent before its first byte",
        "stairquay/entry/upstream.py",
        "    attempt.send()\n",
        "    attempt.send() if attempt.endpoint == 'none' else None\n",
        "A frozen endpoint leaves a request unknown",
    ),
    Mechanism(
        "once",
        "claims",
        "stairquay/entry/server.py",
        "if claim is None:",
        "if True:",
        "The same key at two boxes at once",
    ),
    Mechanism(
        "once",
        "reading back a claim whose answer was lost",
        "stairquay/entry/once.py",
        "if isinstance(read, Ok) and read.ok_value is not None:\n                _resolve",
        "if False:\n                _resolve",
        "The answer of the claim is lost",
    ),
    Mechanism(
        "once",
        "the bar against sending an attempt twice",
        "stairquay/entry/upstream.py",
        'raise DuplicateSendError("an attempt is sent once only")',
        "return",
        "A GET call that may not repeat",
    ),
    Mechanism(
        "once",
        "no retry of what may have run",
        "stairquay/entry/attempts.py",
        "if not incoming.repeatable and failure.ran != ExecutionStatus.NOT_RUN:",
        "if False:",
        "A POST call that may not repeat",
    ),
    Mechanism(
        "once",
        "giving a claim back after `not run`",
        "stairquay/entry/once.py",
        "            self.release(key, request_id)\n            return _unavailable()",
        "            return _unavailable()",
        "The platform gets the claim late",
    ),
    Mechanism(
        "leaving",
        "an endpoint's own word",
        "stairquay/core/membership.py",
        "self.departures_by_id[box_id] = Departure(incarnation)",
        "pass",
        "The list lags, and plain-1 itself says",
    ),
    Mechanism(
        "leaving",
        "the list's state",
        "stairquay/core/membership.py",
        "if box is None or box.state != BoxState.LIVE:",
        "if box is None:",
        "The list says that engine-1 is leaving",
    ),
    Mechanism(
        "stop",
        "finishing what is under way",
        "stairquay/entry/app.py",
        "lambda: context.in_flight == 0",
        "lambda: True",
        "An entry is stopped in mid stream",
    ),
    Mechanism(
        "stop",
        "trying the next router in rank",
        "stairquay/entry/targets.py",
        "for address in self._ranked_routers(prompt.family):",
        "for address in self._ranked_routers(prompt.family)[:1]:",
        "box-1-router and box-2-router are killed",
    ),
    Mechanism(
        "config",
        "the revisions that a plan stands on",
        "stairquay/control/plans.py",
        "conditions=(Condition(_plan_key(stored.plan.id), stored.revision), *basis),",
        "conditions=(Condition(_plan_key(stored.plan.id), stored.revision),),",
        "Two operators confirm rival plans",
    ),
    Mechanism(
        "config",
        "reading back a confirmation whose answer was lost",
        "stairquay/control/plans.py",
        "if isinstance(read, Ok) and read.ok_value.plan.state == PlanState.CONFIRMED:",
        "if False:",
        "The answer of a confirmation is lost",
    ),
    Mechanism(
        "config",
        "taking the configuration from peers",
        "stairquay/adapters/followers.py",
        "await refresh_from_peers(view)",
        "return",
        "A process that is started in an outage",
    ),
    Mechanism(
        "config",
        "turning unready when cut off",
        "stairquay/core/freshness.py",
        "return self.loaded and self.reach(now) != Reach.NOBODY",
        "return self.loaded",
        "A box that is cut off",
    ),
    Mechanism(
        "config",
        "the holder's own clock on its lease",
        "stairquay/core/lease.py",
        "return now < self.sent_at + self.row.duration_s * HOLDER_SHARE",
        "return True",
        "wakes with an old view",
    ),
]


def find_failing_step(mechanism: Mechanism) -> tuple[Mechanism, str]:
    """Return the step that fails without a mechanism, or an empty string if none does."""
    with tempfile.TemporaryDirectory() as name:
        copy = Path(name)
        for item in COPIED_PATHS:
            source = ROOT / item
            if source.is_dir():
                shutil.copytree(source, copy / item, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, copy / item)
        path = copy / mechanism.file
        text = path.read_text()
        assert mechanism.before in text, f"{mechanism.name}: text not found in {mechanism.file}"
        path.write_text(text.replace(mechanism.before, mechanism.after))
        command = [sys.executable, "-m", "behave", "--stop", "-f", "plain", "-n", mechanism.scenario]
        done = subprocess.run(command, cwd=copy, capture_output=True, text=True)
    for line in done.stdout.splitlines():
        if " ... failed" in line or " ... error" in line:
            return mechanism, line.strip().partition(" ... ")[0]
    assert "0 scenarios passed" not in done.stdout, f"no scenario named {mechanism.scenario}"
    return mechanism, ""


def main() -> int:
    """Print a row for each mechanism; return 1 if a scenario passes without its mechanism."""
    selected = [item for item in MECHANISMS if len(sys.argv) < 2 or sys.argv[1] in item.name]
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        rows = list(pool.map(find_failing_step, selected))
    for mechanism, line in rows:
        print(f"| {mechanism.area} | {mechanism.name} | {mechanism.scenario} | {line or 'NOT NOTICED'} |")
    unnoticed = [mechanism for mechanism, line in rows if not line]
    print(f"{len(rows) - len(unnoticed)} noticed, {len(unnoticed)} not")
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
