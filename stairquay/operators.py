"""Client of the control program's operator API, and its replies formatted as text."""

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from stairquay.environment import Environment
from stairquay.status import ExitStatus

CALL_TIMEOUT_S = 30.0
HTTP_OK = 200
HTTP_CONFLICT = 409
CONTROL_VARIABLE = "STAIRQUAY_CONTROL"
KEY_VARIABLE = "STAIRQUAY_OPERATOR_KEY"


@dataclass(frozen=True)
class ControlReply:
    """HTTP status and JSON body of a control program's reply; status 0 if there was none."""

    status: int
    body: dict[str, Any]


@dataclass(frozen=True)
class ControlServer:
    """URL of a control program, and the operator's key."""

    url: str
    key: str


async def call_control(
    server: ControlServer, method: str, path: str, body: bytes | None = None
) -> ControlReply:
    """Call the operator API, without retries."""
    headers = {"Authorization": f"Bearer {server.key}"}
    timeout = ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with (
            ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, server.url + path, data=body) as response,
        ):
            return ControlReply(response.status, msgspec.json.decode(await response.read()))
    except (ClientError, asyncio.TimeoutError, msgspec.DecodeError) as error:
        return ControlReply(0, {"error": {"message": f"{server.url} gave no answer: {type(error).__name__}"}})


def print_reply(env: Environment, reply: ControlReply, as_json: bool, lines: list[str]) -> ExitStatus:
    """Print a reply as JSON or as lines, and return its exit status."""
    if as_json:
        env.write_line(msgspec.json.format(msgspec.json.encode(reply.body), indent=2).decode())
    if reply.status == HTTP_OK:
        if not as_json:
            for line in lines:
                env.write_line(line)
        return ExitStatus.SUCCESS
    if not as_json:
        _print_error(env, reply.body.get("error", {}))
    if reply.status == 0:
        return ExitStatus.UNREACHED
    return ExitStatus.CONFLICT if reply.status == HTTP_CONFLICT else ExitStatus.REFUSED


def _print_error(env: Environment, error: dict[str, Any]) -> None:
    env.write_error(error.get("message", "no answer"))
    for mistake in error.get("mistakes", ()):
        env.write_error(f"  {mistake['path']}: {mistake['expected']}")
    for row in error.get("changed", ()):
        env.write_error(f"  changed since the plan was made: {row['key']} (now revision {row['revision']})")
    if error.get("changed"):
        env.write_error("  state the intents again to get a plan on what holds now")


def plan_lines(body: dict[str, Any]) -> list[str]:
    """Format a plan as lines of text."""
    plan = body.get("plan")
    if plan is None:
        return []
    lines = [f"{plan['id']}  {plan['state']}  made on revision {plan['revision']}"]
    for change in plan["changes"]:
        lines.append(f"  {_change_verb(change)} {change['key']}")
        lines += [f"      {line}" for line in _differences(change)]
    for load in plan["loads"]:
        lines.append(
            f"  load {load['after']} on {load['endpoint']} (runs {load['before'] or 'nothing known'})"
        )
    lines.append(f"  cost: {len(plan['loads'])} loads, about {plan['loads_s']:.1f} s;")
    lines.append(f"        {plan['lost_kept_bytes']} bytes of kept context of the old version lose their use")
    lines += [f"  note: {warning}" for warning in plan["warnings"]]
    if plan["state"] == "proposed":
        lines.append(f"nothing has changed yet; to put it into force: stairquay plan {plan['id']} --confirm")
    if "revision" in body:
        lines.append(f"in force from revision {body['revision']} on")
    return lines


def _change_verb(change: dict[str, Any]) -> str:
    if change["before"] is None:
        return "create"
    return "delete" if change["after"] is None else "change"


def _differences(change: dict[str, Any]) -> list[str]:
    before = msgspec.json.decode(change["before"] or "{}")
    after = msgspec.json.decode(change["after"] or "{}")
    if change["before"] is None or change["after"] is None:
        return []
    keys = sorted(key for key in before.keys() | after.keys() if before.get(key) != after.get(key))
    return [f"{key}: {before.get(key)!r} -> {after.get(key)!r}" for key in keys]


def status_lines(body: dict[str, Any]) -> list[str]:
    """Format a status as lines of text."""
    if "processes" not in body:
        return []
    lines = [f"configuration revision {body['revision']}, box list {body['list_as_of']} (by {body['reach']})"]
    for item in body["processes"]:
        state = "current" if item["current"] else "BEHIND"
        lines.append(f"  {item['box']:<16} {item['role']:<8} revision {item['revision']:<8} {state}")
    lines += [f"  {box:<16} router   gives no answer" for box in body["silent"]]
    for item in body["endpoints"]:
        lines.append("  " + _endpoint_line(item))
    return lines


def _endpoint_line(item: dict[str, Any]) -> str:
    state = "leaving" if item["leaving"] else f"loading {item['loading']}" if item["loading"] else "serving"
    if item["age_s"] < 0 and not item["leaving"]:
        state = "not polled"
    wanted = f" (wanted: {item['wanted']})" if item["wanted"] != item["version"] and item["wanted"] else ""
    version = item["version"] or "-"
    return f"{item['id']:<16} {item['service']:<14} {version}{wanted} {state}, {item['running']} running"
