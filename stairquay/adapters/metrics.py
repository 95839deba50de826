"""Prometheus metrics of the programs, with bounded label cardinality."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

MAX_LABELS = 1_000
"""Distinct workspace and route labels; further ones become `other`."""

OTHER_LABEL = "other"

TIME_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30, 60)
TOKEN_BUCKETS = (0, 256, 1_024, 4_096, 16_384, 65_536, 262_144)


class LabelLimiter:
    """Limits the number of distinct label values."""

    def __init__(self, limit: int = MAX_LABELS) -> None:
        self.limit = limit
        self.known: set[str] = set()

    def of(self, name: str) -> str:
        """Return the label for a name: the name itself, or `other` beyond the limit."""
        if name in self.known:
            return name
        if len(self.known) >= self.limit:
            return OTHER_LABEL
        self.known.add(name)
        return name


class EntryMetrics:
    """Metrics of the entry program."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.labels = LabelLimiter()
        by_workspace = ["workspace", "service"]
        self.requests = Counter(
            "stairquay_requests", "Requests that came in", by_workspace, registry=self.registry
        )
        self.refusals = Counter(
            "stairquay_refusals", "Requests refused", ["kind", "ran"], registry=self.registry
        )
        self.attempts = Counter(
            "stairquay_attempts", "Attempts at endpoints", ["service", "outcome"], registry=self.registry
        )
        self.routes = Counter(
            "stairquay_routes", "Questions where to run, by who answered", ["outcome"], registry=self.registry
        )
        self.first_token = Histogram(
            "stairquay_first_token_seconds",
            "Seconds from the request's arrival to the first byte of its answer",
            by_workspace,
            buckets=TIME_BUCKETS,
            registry=self.registry,
        )
        self.queue_time = Histogram(
            "stairquay_queue_seconds",
            "Seconds that requests waited for a slot",
            by_workspace,
            buckets=TIME_BUCKETS,
            registry=self.registry,
        )
        self.recomputed = Histogram(
            "stairquay_recomputed_tokens",
            "Prompt tokens computed by the endpoint",
            by_workspace,
            buckets=TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.reused = Histogram(
            "stairquay_reused_tokens",
            "Prompt tokens taken from kept context",
            by_workspace,
            buckets=TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.in_flight = Gauge("stairquay_in_flight", "Requests under way", registry=self.registry)
        self.ejected = Counter(
            "stairquay_ejections", "Endpoints ejected after failures", ["service"], registry=self.registry
        )

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class RouterMetrics:
    """Metrics of the router program."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.decisions = Counter(
            "stairquay_decisions", "Decisions by way", ["service", "way"], registry=self.registry
        )
        self.decision_time = Histogram(
            "stairquay_decision_seconds",
            "Seconds of processor time a decision takes",
            buckets=(0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05),
            registry=self.registry,
        )
        self.link_bytes = Counter(
            "stairquay_link_bytes", "Bytes over store boxes' links", ["store", "way"], registry=self.registry
        )
        self.imports = Counter(
            "stairquay_imports", "Imports of kept context", ["store", "outcome"], registry=self.registry
        )
        self.exports = Counter(
            "stairquay_exports", "Exports of kept context", ["store", "outcome"], registry=self.registry
        )
        self.lost_events = Counter(
            "stairquay_lost_cache_events", "Cache events that never came", registry=self.registry
        )
        self.kept_bytes = Gauge(
            "stairquay_kept_bytes", "Bytes of kept context known", ["store"], registry=self.registry
        )

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class ControlMetrics:
    """Metrics of the control program."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.plans = Counter("stairquay_plans", "Plans by outcome", ["outcome"], registry=self.registry)
        self.orders = Counter("stairquay_orders", "Orders by outcome", ["outcome"], registry=self.registry)
        self.evictions = Counter(
            "stairquay_evictions", "Segments given up", ["store"], registry=self.registry
        )
        self.leading = Gauge(
            "stairquay_leading", "1 while this control holds the lease", registry=self.registry
        )

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
