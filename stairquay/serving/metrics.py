"""Prometheus metrics of a box."""

from typing import TypeVar, cast

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from stairquay.adapters.metrics import TIME_BUCKETS, TOKEN_BUCKETS, LabelLimiter

LATENESS_BUCKETS = (0.001, 0.003, 0.01, 0.02, 0.035, 0.06, 0.09, 0.15, 0.3, 0.6, 1.2, 2.5)

LabelledMetric = TypeVar("LabelledMetric", Counter, Histogram)


class BoxMetrics:
    """All metrics of a box. Workspaces and routes beyond a maximum number share one label."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.labels = LabelLimiter()
        self._children: dict[tuple[Counter | Histogram, tuple[str, ...]], Counter | Histogram] = {}
        registry = self.registry
        self.requests = Counter("stairquay_requests", "Requests", ["workspace", "route"], registry=registry)
        self.ended = Counter(
            "stairquay_ended", "Requests by outcome", ["route", "outcome"], registry=registry
        )
        self.refusals = Counter("stairquay_refusals", "Refusals", ["kind", "ran"], registry=registry)
        self.closed_connections = Counter(
            "stairquay_closed_connections",
            "Connections closed before a request was read or its answer taken",
            ["port", "reason"],
            registry=registry,
        )
        self.attempts = Counter("stairquay_attempts", "Attempts", ["service", "outcome"], registry=registry)
        self.retries = Counter("stairquay_repeats", "Requests sent again", ["service"], registry=registry)
        self.first_byte = Histogram(
            "stairquay_first_byte_seconds",
            "Seconds from arrival to the first byte of the answer",
            ["workspace", "route"],
            buckets=TIME_BUCKETS,
            registry=registry,
        )
        self.response_time = Histogram(
            "stairquay_answer_seconds",
            "Seconds from arrival to the end of the answer",
            ["route"],
            buckets=TIME_BUCKETS,
            registry=registry,
        )
        self.prompt_tokens = Histogram(
            "stairquay_prompt_tokens",
            "Prompt tokens by how the engine was expected to get them",
            ["route", "way"],
            buckets=TOKEN_BUCKETS,
            registry=registry,
        )
        self.waiting_prompts = Gauge(
            "stairquay_waiting_prompts",
            "Prompts that wait at this router for room at an engine",
            ["priority"],
            registry=registry,
        )
        self.taken_up = Counter(
            "stairquay_streams_taken_up",
            "Streams that callers took up again, by how the version that began them is known",
            ["known"],
            registry=registry,
        )
        self.rejected = Counter(
            "stairquay_rejected",
            "Prompts that this box refused, as a router or without one, while the engines were full",
            ["reason", "priority"],
            registry=registry,
        )
        self.room = Gauge(
            "stairquay_room",
            "Free slots of the engines that this box routes for",
            ["service"],
            registry=registry,
        )
        self.orders = Counter("stairquay_orders", "Orders by answer", ["answer"], registry=registry)
        self.freed = Counter("stairquay_freed_parts", "Parts freed at store boxes", registry=registry)
        self.table_calls = Counter(
            "stairquay_table_calls", "Calls to the table service", ["call", "outcome"], registry=registry
        )
        self.era = Gauge(
            "stairquay_table_era",
            "Era of the table service, which rises with each restore",
            registry=registry,
        )
        self.restores = Counter(
            "stairquay_table_restores", "Restores of the table service that were seen", registry=registry
        )
        self.peer_calls = Counter(
            "stairquay_peer_calls", "Calls to engines and store boxes", ["call", "outcome"], registry=registry
        )
        self.unanswered_router_calls = Counter(
            "stairquay_silent_routers", "Questions that a router did not answer", registry=registry
        )
        self.unreadable_entries = Counter(
            "stairquay_unreadable_entries", "Entries of the list that name no endpoint", registry=registry
        )
        self.evacuated = Gauge(
            "stairquay_evacuated_data_hall",
            "1 while a data hall is evacuated",
            ["data_hall"],
            registry=registry,
        )
        self.cold = Gauge(
            "stairquay_cold_seconds_left",
            "Seconds for which an endpoint is cold",
            ["endpoint"],
            registry=registry,
        )
        self.limits = Gauge(
            "stairquay_endpoint_limit_per_second",
            "Requests a second that an endpoint takes from all callers, where it names a limit",
            ["endpoint"],
            registry=registry,
        )
        self.leaving = Gauge(
            "stairquay_endpoint_leaving",
            "1 for an endpoint that leaves, as its entry or its answers say",
            ["endpoint"],
            registry=registry,
        )
        self.tolerances = Gauge(
            "stairquay_endpoint_bears_rejections_per_second",
            "Rejections a second above which an endpoint falls over, where it states that",
            ["endpoint"],
            registry=registry,
        )
        self.rejected_by_brittle = Counter(
            "stairquay_brittle_endpoint_left_alone",
            "Times that this box left alone an endpoint that is brittle and had rejected a request",
            ["service"],
            registry=registry,
        )
        self.surplus_answers = Counter(
            "stairquay_surplus_answers",
            "Answers to earlier requests that an endpoint sent before the one that was due",
            ["service"],
            registry=registry,
        )
        self.backoffs = Gauge(
            "stairquay_endpoint_rest_seconds_left",
            "Seconds for which an endpoint wants nothing from this box",
            ["endpoint"],
            registry=registry,
        )
        self.unreadable_feedback = Counter(
            "stairquay_unreadable_statements",
            "Answers whose statement of their endpoint's use cannot be read",
            ["topic"],
            registry=registry,
        )
        self.crashes = Counter(
            "stairquay_endpoint_crashes",
            "Endpoints that crashed under this box's requests",
            ["service"],
            registry=registry,
        )
        self.forwarded = Counter(
            "stairquay_forwarded",
            "Requests passed on to another box, which reaches endpoints that this one does not",
            ["service", "outcome"],
            registry=registry,
        )
        self.service_lost = Gauge(
            "stairquay_service_lost",
            "1 while this box reaches no endpoint of a service, as far as it knows",
            ["service"],
            registry=registry,
        )
        self.quarantined = Gauge(
            "stairquay_quarantined_requests", "Requests that crash endpoints, not sent now", registry=registry
        )
        self.loop_lateness = Histogram(
            "stairquay_loop_lateness_seconds",
            "Seconds by which ticks of a periodic timer are late",
            buckets=LATENESS_BUCKETS,
            registry=registry,
        )
        self.load_level = Gauge("stairquay_load_level", "0 normal, 1 busy, 2 overloaded", registry=registry)
        self.box_refusals = Counter(
            "stairquay_box_refusals",
            "Requests that this box has no capacity for",
            ["reason"],
            registry=registry,
        )
        # Looked up once, since refusals have to be cheap.
        self.late_refusals = self.refusals.labels("overloaded", "not run")
        self.late_refusal_reasons = self.box_refusals.labels("late")
        self.in_flight = Gauge("stairquay_in_flight", "Requests under way", registry=registry)
        self.view_age = Gauge(
            "stairquay_view_age_seconds", "Age of the configuration's view", registry=registry
        )
        self.replaced = Gauge(
            "stairquay_weights_replaced_seconds",
            "Seconds for which the oldest weights in use have been replaced",
            registry=registry,
        )
        self.engine_speed = Gauge(
            "stairquay_engine_speed_factor",
            "Seconds that an engine takes over those of its peers, where the difference is used",
            ["endpoint", "of"],
            registry=registry,
        )
        self.leading = Gauge("stairquay_leading", "1 while this box holds the lease", registry=registry)
        self.dropped_log_lines = Gauge(
            "stairquay_log_lines_left_out", "Log lines left out", registry=registry
        )

    def child(self, metric: LabelledMetric, *labels: str) -> LabelledMetric:
        """Return a metric's child for labels, as `metric.labels` does, but without taking its lock each time.

        For counters and histograms only, whose children are never removed.
        """
        key = (metric, labels)
        found = self._children.get(key)
        if found is None:
            found = self._children[key] = metric.labels(*labels)
        return cast(LabelledMetric, found)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
