"""The `timing` node of the document.

Parses it, completes each level with what it inherits and checks the policy.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ospreyvale.routing.control import MAX_TANDEMS, TICK_MS
from ospreyvale.settings.config import Config
from ospreyvale.settings.document import NodeReader, Problems, parse_document
from ospreyvale.timing.checker import check_policy
from ospreyvale.timing.policy import (
    MAX_ATTEMPTS_PER_ROUTE,
    MAX_ROUTES_PER_CLASS,
    AttemptTiming,
    BackOff,
    Budget,
    ClassTiming,
    Policy,
    Route,
    SiteCallClass,
    SiteRules,
)

MAX_TIME_MS = 3_600_000.0  # for every time in a document
MAX_RETRIES_PER_S = 10_000.0
NODE_NAME = "timing"


def build_site_rules(config: Config, more_exchanges: Iterable[int] = ()) -> SiteRules:
    """Returns the rules that a policy is checked against.

    `more_exchanges` are numbers of exchanges that the configuration does not list.
    """
    settings = config.settings
    return SiteRules(
        tuple(
            SiteCallClass(
                name, call_class.aim_ms, call_class.deadline_ms, call_class.worth, call_class.late_worth
            )
            for name, call_class in zip(config.class_names, settings.classes, strict=True)
        ),
        settings.release_ms,
        settings.max_attempts,
        settings.answer_grace_ms,
        config.zones,
        tuple(sorted({*config.exchanges, *more_exchanges})),
        MAX_TANDEMS,
        TICK_MS,
    )


@dataclass(frozen=True, slots=True)
class _LevelValues:
    """What one level of the document sets; None for what it does not set."""

    attempts: tuple[AttemptTiming, ...] | None
    back_off: BackOff | None
    copy_ms: float | None  # earliest time of a second copy, after the first set-up was sent

    def inherit(self, parent: _LevelValues) -> _LevelValues:
        """Returns this level, with what it does not set taken from the parent.

        A level with more than one attempt does not inherit a second copy, as its own attempts follow the
        first.
        """
        own_copy = self.copy_ms is not None or (self.attempts is not None and len(self.attempts) > 1)
        return _LevelValues(
            parent.attempts if self.attempts is None else self.attempts,
            parent.back_off if self.back_off is None else self.back_off,
            self.copy_ms if own_copy else parent.copy_ms,
        )


_NO_VALUES = _LevelValues(None, None, None)
_Routes = dict[tuple[str, int, int], tuple[Route, _LevelValues]]  # by kind, zone and exchange (-1: any)


def parse_policy_document(text: str, file: str, site: SiteRules) -> Policy | None:
    """Parses a document that may hold a `timing` node only; returns None without the node.

    Raises DocumentError with every reason to refuse it.
    """
    top, problems = parse_document(text, file)
    policy = parse_policy(top, problems, site, text)
    top.reject_unknown()
    problems.raise_if_any()
    return policy


def parse_policy(top: NodeReader, problems: Problems, site: SiteRules, text: str = "") -> Policy | None:
    """Parses the `timing` node.

    Returns None if there is none, or if it is refused (with reasons in `problems`).
    """
    node = top.child(NODE_NAME)
    if node is None:
        return None
    earlier_reason_count = len(problems.reasons)
    path_ms = node.number("path-ms", 0.0, 10_000.0, 0.0)
    defaults = _NO_VALUES
    budget = None
    gives_up_ms = None
    routes: _Routes = {}
    default_node = node.child("default")
    if default_node is not None:
        defaults, budget, gives_up_ms, routes = _parse_level(default_node, site, math.inf)
    class_nodes: dict[str, NodeReader] = {}
    for class_node in node.children("class"):
        name = class_node.argument("the name of a class")
        if name in class_nodes:
            class_node.add_problem("stands twice; allowed: once")
        elif name not in [call_class.name for call_class in site.classes]:
            class_node.add_problem(
                "is not a class of the settings; "
                f"allowed: {', '.join(call_class.name for call_class in site.classes)}"
            )
        elif isinstance(name, str):
            class_nodes[name] = class_node
    classes = []
    for call_class in site.classes:
        if call_class.name in class_nodes:
            own_values, own_budget, own_gives_up_ms, own_routes = _parse_level(
                class_nodes[call_class.name], site, call_class.deadline_ms
            )
            values = own_values.inherit(defaults)
            merged = {
                key: (
                    route,
                    route_values.inherit(routes[key][1].inherit(values) if key in routes else values),
                )
                for key, (route, route_values) in own_routes.items()
            }
            merged |= {
                key: (route, route_values.inherit(values))
                for key, (route, route_values) in routes.items()
                if key not in own_routes
            }
            classes.append(
                _build_class(
                    site, call_class, merged, values, own_budget or budget, own_gives_up_ms or gives_up_ms
                )
            )
        elif default_node is not None:
            merged = {
                key: (route, route_values.inherit(defaults)) for key, (route, route_values) in routes.items()
            }
            classes.append(_build_class(site, call_class, merged, defaults, budget, gives_up_ms))
        else:
            classes.append(
                ClassTiming(
                    call_class.name,
                    call_class.deadline_ms,
                    (Route("direct"), Route("transit")),
                    bounded=False,
                )
            )
    node.reject_unknown()
    if len(problems.reasons) > earlier_reason_count:
        return None  # timelines of an incomplete policy would be meaningless
    from hashlib import sha256  # the import takes 3 MB of memory, which a start without a policy saves

    policy = Policy(tuple(classes), path_ms, sha256(text.encode()).hexdigest()[:16], text)
    for reason in check_policy(policy, site):
        problems.add(NODE_NAME, reason)
    return policy


def _parse_level(
    node: NodeReader, site: SiteRules, deadline_ms: float
) -> tuple[_LevelValues, Budget | None, float | None, _Routes]:
    """Parses a `class` or `default` node; returns its values, budget, gives-up time and routes."""
    gives_up_ms = None
    if node.has_property("gives-up-ms"):
        gives_up_ms = node.number("gives-up-ms", 0.0, min(deadline_ms, MAX_TIME_MS), exclusive_minimum=True)
    values = _parse_values(node)
    routes: _Routes = {}
    for index, route_node in enumerate(node.children("route")):
        route = _parse_route(route_node, site)
        route_values = _parse_values(route_node)
        route_node.reject_unknown()
        key = (route.kind, route.zone, route.exchange)
        if index == MAX_ROUTES_PER_CLASS:
            node.add_problem(f"has more than {MAX_ROUTES_PER_CLASS} routes")
        elif key in routes:
            route_node.add_problem(f"{route.title} stands twice; allowed: once")
        else:
            routes[key] = (route, route_values)
    budget_node = node.child("budget")
    budget = None
    if budget_node is not None:
        per_second = budget_node.number("retries-per-second", 0.0, MAX_RETRIES_PER_S)
        budget = Budget(
            per_second,
            budget_node.number("share", 0.0, 1.0, 0.0),
            budget_node.number("per-destination", 0.0, MAX_RETRIES_PER_S, per_second),
        )
        budget_node.reject_unknown()
    node.reject_unknown()
    return values, budget, gives_up_ms, routes


def _parse_values(node: NodeReader) -> _LevelValues:
    """Parses the attempts, the back-off and the second copy of a node."""
    attempts = []
    for attempt_node in node.children("attempt"):
        attempts.append(
            AttemptTiming(
                attempt_node.number("wait-ms", 0.0, MAX_TIME_MS, exclusive_minimum=True),
                attempt_node.number("gap-ms", 0.0, MAX_TIME_MS, -1.0),  # -1: not set
            )
        )
        attempt_node.reject_unknown()
    if len(attempts) > MAX_ATTEMPTS_PER_ROUTE:
        node.add_problem(f"has more than {MAX_ATTEMPTS_PER_ROUTE} attempts")
    back_off_node = node.child("back-off")
    back_off = None
    if back_off_node is not None:
        first_ms = back_off_node.number("first-ms", 0.0, MAX_TIME_MS, exclusive_minimum=True)
        back_off = BackOff(
            first_ms,
            back_off_node.number("most-ms", first_ms, MAX_TIME_MS, first_ms),
            back_off_node.number("factor", 1.0, 100.0, 2.0),
            back_off_node.number("jitter", 0.0, 0.9, 0.0),
        )
        back_off_node.reject_unknown()
    copy_node = node.child("second-copy")
    copy_ms = None
    if copy_node is not None:
        copy_ms = copy_node.number("after-ms", 0.0, MAX_TIME_MS, exclusive_minimum=True)
        copy_node.reject_unknown()
        if len(attempts) > 1:
            copy_node.add_problem(f"stands beside {len(attempts)} attempts; allowed: one, which it repeats")
    return _LevelValues(tuple(attempts) or None, back_off, copy_ms)


def _parse_route(node: NodeReader, site: SiteRules) -> Route:
    """Parses which set-ups a `route` node applies to."""
    kind = "direct" if node.argument('"direct" or "transit"') == "direct" else "transit"
    if node.node.args[:1] not in ([], ["direct"], ["transit"]):
        node.add_problem('is not a route; allowed: "direct" or "transit"')
    if not node.has_property("via"):
        return Route(kind)
    if kind == "direct":
        node.add_problem("a direct route goes via nothing; allowed: no via")
    via = node.node.properties["via"]
    node.integer("via", 0, 0xFFFF) if not isinstance(via, str) else node.text("via")
    if isinstance(via, str):
        if via in site.zones:
            return Route(kind, zone=site.zones.index(via), via=via)
        node.add_problem(
            f'via is "{via[:40]}"; allowed: a zone ({", ".join(site.zones)}) or the number of an exchange'
        )
    elif isinstance(via, int) and site.exchanges and via not in site.exchanges:
        node.add_problem(
            f"via is {via}; allowed: a zone or the number of an exchange "
            f"({', '.join(map(str, site.exchanges))})"
        )
    return Route(kind, exchange=via if isinstance(via, int) else -1, via=str(via))


def _build_class(
    site: SiteRules,
    call_class: SiteCallClass,
    routes: _Routes,
    values: _LevelValues,
    budget: Budget | None,
    gives_up_ms: float | None,
) -> ClassTiming:
    """Returns a class with all that it inherits; its routes are ordered from the most specific one."""
    all_routes = {
        ("direct", -1, -1): (Route("direct"), values),
        ("transit", -1, -1): (Route("transit"), values),
    } | routes
    order = sorted(
        all_routes.values(),
        key=lambda pair: (
            pair[0].kind,
            pair[0].exchange < 0,
            pair[0].zone < 0,
            pair[0].exchange,
            pair[0].zone,
        ),
    )
    return ClassTiming(
        call_class.name,
        call_class.deadline_ms if gives_up_ms is None else gives_up_ms,
        tuple(_build_route(route, route_values, site.release_ms) for route, route_values in order),
        budget,
    )


def _build_route(route: Route, values: _LevelValues, release_ms: float) -> Route:
    """Returns the route with its attempts and second copy; a gap that is not set is the release time."""
    attempts = tuple(
        AttemptTiming(attempt.wait_ms, release_ms if attempt.gap_ms < 0.0 else attempt.gap_ms)
        for attempt in values.attempts or ()
    )
    if values.copy_ms is not None:
        first = attempts[0] if attempts else AttemptTiming(math.inf, release_ms)
        attempts = (first, AttemptTiming(first.wait_ms, first.gap_ms, values.copy_ms))
    return Route(route.kind, route.zone, route.exchange, route.via, attempts, values.back_off)
