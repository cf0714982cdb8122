"""What the frames of a handover hold of calls and of the decision module's learned values."""

from __future__ import annotations

from dataclasses import asdict, astuple
from typing import Any

from ospreyvale.protocol.handover import bytes_to_text, text_to_bytes
from ospreyvale.routing import interface
from ospreyvale.routing.call_table import MAX_ENDED_CALLS, EndedCall
from ospreyvale.routing.state import CallState


def encode_ended_calls(ended_calls: list[EndedCall]) -> list[tuple[Any, ...]]:
    """Encodes the calls that have ended in the old process."""
    return [astuple(ended) for ended in ended_calls]


def decode_ended_calls(frame: dict[str, Any]) -> list[EndedCall]:
    """Decodes the ended calls of a `learned` frame; former releases of the program send their ids alone."""
    ended_calls = frame.get("ended", [(call, 0.0, False) for call in frame["over"]])
    return [EndedCall(*ended) for ended in ended_calls[-MAX_ENDED_CALLS:]]


def encode_call(state: CallState) -> dict[str, Any]:
    """Encodes a standing call without the session description of its offer."""
    attempt = state.attempt
    assert attempt is not None
    offer = asdict(state.offer)
    del offer["description"]
    return {
        "offer": offer,
        "exchange": bytes_to_text(attempt.exchange.address),
        "number": attempt.number,
        "sent_at": attempt.sent_at,
    }


def encode_learned(learned: interface.LearnedState) -> dict[str, Any]:
    """Encodes learned values for JSON, which has neither infinity nor bytes.

    Floats are sent as their repr.
    """
    own_rates = learned.learned_rate, learned.set_up_rate, learned.peak_carried_rate, learned.carried_rate
    return {
        "lagged": learned.own_lagging,
        "own": [repr(value) for value in own_rates],
        "far": [
            [
                remote.number,
                bytes_to_text(remote.address),
                remote.sample_count,
                list(remote.held),
                *(
                    repr(value)
                    for value in (
                        remote.started_at,
                        remote.delay_ms,
                        remote.measured_at,
                        remote.min_delay_ms,
                        *remote.recent_set_ups,
                    )
                ),
            ]
            for remote in learned.exchanges
        ],
    }


def decode_learned(frame: dict[str, Any]) -> interface.LearnedState:
    """Decodes what `encode_learned` has encoded."""
    exchanges = []
    for number, address, sample_count, held, *values in frame["far"]:
        started_at, delay_ms, measured_at, min_delay_ms, *recent_set_ups = (float(value) for value in values)
        exchanges.append(
            interface.LearnedExchange(
                number,
                text_to_bytes(address),
                started_at,
                delay_ms,
                measured_at,
                min_delay_ms,
                sample_count,
                tuple(held),
                tuple(recent_set_ups),
            )
        )
    learned_rate, set_up_rate, peak_carried_rate, carried_rate = (float(value) for value in frame["own"])
    return interface.LearnedState(
        learned_rate, set_up_rate, peak_carried_rate, carried_rate, frame["lagged"], tuple(exchanges)
    )
