"""The service that holds the timing policy in force and replaces it at run time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import orjson

from ospreyvale.fronts.http import Reply
from ospreyvale.routing.context import Log
from ospreyvale.routing.core import Core
from ospreyvale.settings.document import DocumentError
from ospreyvale.settings.timing import parse_policy_document
from ospreyvale.timing.engine import NO_TIMING_POLICY, TimingEngine
from ospreyvale.timing.policy import ClassTiming, Policy, Route, SiteRules

MAX_LOGGED_REASONS = 10  # for one refused document


class TimingService:
    """Holds the policy in force and replaces it in one step.

    A refused policy changes nothing; it is counted, and logged with its reasons.
    """

    def __init__(
        self,
        core: Core,
        read_site_rules: Callable[[], SiteRules],
        random_fraction: Callable[[], float],
        counters: Counter[str],
        log: Log,
    ) -> None:
        self.core = core
        self.read_site_rules = read_site_rules
        self.random_fraction = random_fraction
        self.counters = counters
        self.log = log
        self.policy: Policy | None = None
        self.engine: TimingEngine | None = None

    def apply(self, policy: Policy | None, origin: str) -> None:
        """Applies a checked policy to all calls that arrive from now on; None removes the policy.

        `origin` says in the log where the policy came from.
        """
        previous = self.policy
        self.policy = policy
        if policy is None:
            self.core.set_timing(NO_TIMING_POLICY)
        else:
            if self.engine is None:
                self.engine = TimingEngine(policy, self.read_site_rules(), self.random_fraction)
            self.engine.site = self.read_site_rules()
            self.engine.replace_policy(policy)
            self.core.set_timing(self.engine)
            self._start_learning()
        if policy != previous:
            self.counters["timing_swaps"] += 1
            self.log("timing_taken", origin=origin, digest=_digest(policy), before=_digest(previous))

    def _start_learning(self) -> None:
        """Starts to learn set-up times; the library is imported only by installations with a policy."""
        if self.core.context.set_up_times is None:
            try:
                from ospreyvale.timing.learned import SetUpTimes
            except ImportError as error:
                # Calls are served without learning if the `timing` extra is not installed.
                self.log("timing_not_learned", why=str(error))
                return
            self.core.context.set_up_times = SetUpTimes()

    def record_refusal(self, origin: str, error: DocumentError) -> None:
        """Counts and logs a refused document; `origin` says where it came from."""
        self.counters["timing_refused"] += 1
        self.log("timing_refused", origin=origin, reasons=error.reasons[:MAX_LOGGED_REASONS])

    # ---- requests of the admin interface ----

    def get_policy(self, _: bytes = b"") -> Reply:
        """`GET /v1/timing`: the policy in force and its retry counters."""
        return Reply(
            200,
            orjson.dumps(
                {
                    "digest": _digest(self.policy),
                    "document": _source(self.policy),
                    "classes": policy_as_dict(self.policy),
                    "retries": self._engine_counter("retries"),
                    "retries_refused": self._engine_counter("retries_refused"),
                }
            ),
        )

    def put_policy(self, body: bytes) -> Reply:
        """`PUT /v1/timing`: applies a document with a `timing` node.

        Returns 422 with every reason against it if it is refused.
        """
        try:
            text = body.decode()
            policy = parse_policy_document(text, "body", self.read_site_rules())
            if policy is None:
                raise DocumentError(["body: has no timing node"])
        except UnicodeDecodeError as error:
            return self._refuse(DocumentError([f"body: not UTF-8 at byte {error.start}"]))
        except DocumentError as error:
            return self._refuse(error)
        self.apply(policy, "admin")
        return Reply(200, orjson.dumps({"digest": policy.digest}))

    def get_figures(self, _: bytes = b"") -> Reply:
        """`GET /v1/timing/figures`: the learned set-up times, as input for `ospreyvale timing plan`."""
        set_up_times = self.core.context.set_up_times
        return Reply(
            200,
            orjson.dumps(
                set_up_times.as_dict(self.core.context.clock.now) if set_up_times is not None else {}
            ),
        )

    def _refuse(self, error: DocumentError) -> Reply:
        self.record_refusal("admin", error)
        return Reply(422, orjson.dumps({"reasons": error.reasons}))

    def _engine_counter(self, name: str) -> int:
        """Returns a counter of the engine by its name; 0 without an engine."""
        return getattr(self.engine, name) if self.engine is not None else 0


def _digest(policy: Policy | None) -> str:
    """Returns the digest of the policy's document; empty without a policy."""
    return policy.digest if policy is not None else ""


def _source(policy: Policy | None) -> str:
    """Returns the text of the policy's document; empty without a policy."""
    return policy.document_text if policy is not None else ""


def policy_as_dict(policy: Policy | None) -> dict[str, Any]:
    """Returns the policy with all inherited values, in a form that orjson can serialize.

    The values are those of its classes and routes.
    """
    return (
        {class_timing.name: _class_as_dict(class_timing) for class_timing in policy.classes}
        if policy is not None
        else {}
    )


def _class_as_dict(class_timing: ClassTiming) -> dict[str, Any]:
    if not class_timing.bounded:
        return {"bounded": False}
    return {
        "gives_up_ms": class_timing.gives_up_ms,
        "routes": {route.title: _route_as_dict(route) for route in class_timing.routes},
        "budget": class_timing.budget,
    }


def _route_as_dict(route: Route) -> dict[str, Any]:
    return {"attempts": route.attempts, "back_off": route.back_off}
