"""The call that an INVITE of the platform's callers offers, checked against the settings."""

from __future__ import annotations

from dataclasses import dataclass

from ospreyvale.protocol import sip
from ospreyvale.routing.state import Offer


@dataclass(frozen=True, slots=True)
class OfferLimits:
    """What the settings allow a caller to ask for."""

    class_names: tuple[str, ...]
    max_patience_ms: tuple[float, ...]  # longest wait of a caller for its answer, by class index
    customers: frozenset[str]  # empty: any
    max_circuits_per_call: int


def parse_offer(message: sip.Message, limits: OfferLimits) -> Offer | None:
    """Returns the call that an INVITE offers; None where a field has no valid value."""
    call = message.call
    trunk_info = sip.parse_trunk_info(message)
    name = message.header("priority-class")
    class_index = limits.class_names.index(name) if name in limits.class_names else None
    customer = message.header("p-customer")
    width = trunk_info.get("width", 1)
    if (
        class_index is None
        or trunk_info.get("dest", -1) < 0
        or not 1 <= width <= limits.max_circuits_per_call
        or (customer and limits.customers and customer not in limits.customers)
    ):
        return None
    patience_ms = (
        float(message.number("expires-ms"))
        if "expires-ms" in message.headers
        else limits.max_patience_ms[class_index]
    )
    if not 0.0 < patience_ms <= limits.max_patience_ms[class_index]:
        return None
    called_number = message.user
    return Offer(
        call,
        trunk_info["dest"],
        sip.parse_called_number(called_number),
        called_number,
        patience_ms,
        class_index,
        name,
        message.body,
        width,
        trunk_info.get("via", -1),
        transit=trunk_info.get("transit", 0) == 1,
        cut=trunk_info.get("again", 0) == 1,
    )
