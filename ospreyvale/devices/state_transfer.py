"""Exports and imports the device state as plain values, for the process that replaces this one.

The state consists of sessions with their replay windows and paths, active and finished requests, and
unacknowledged messages.  SIP transactions are not transferred: a retransmission begins a new one, and its
request is found in the index.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from ospreyvale.devices.counter import AddressValidator
from ospreyvale.devices.index import FinalAnswer
from ospreyvale.devices.keys import Keys, derive_session_key
from ospreyvale.devices.request_manager import ActiveRequest, CallRequest, OutboxMessage, RequestManager
from ospreyvale.devices.sessions import Path
from ospreyvale.devices.window import ReplayWindow

StateRecord = dict[str, Any]


def export_state(
    request_manager: RequestManager, address_validator: AddressValidator
) -> Iterator[StateRecord]:
    """Yields the records of the whole state, in the order in which `StateImporter` has to import them."""
    yield {"what": "epoch", "epoch": request_manager.epoch.hex(), "secret": address_validator.secret.hex()}
    for session in request_manager.sessions.by_device.values():
        yield {
            "what": "session",
            "device": session.device,
            "cid": session.cid.hex(),
            "key_id": session.key_id,
            "hello": session.hello_count,
            "number": session.last_sent_number,
            "heard_at": session.last_received_at,
            "windows": [
                [window.highest, f"{window.bitmap:x}"]
                for window in (session.replay_window, session.sip_replay_window)
            ],
            "paths": [_path_values(path) for path in session.paths],
        }
    for index_key, answer in request_manager.index.finished():
        yield {"what": "finished", "key": index_key, "answer": _answer_record(answer)}
    for request in request_manager.index.active.values():
        call_request = request.call_request
        yield {
            "what": "live",
            "key": request.index_key,
            "device": request.session.device,
            "deadline": request.deadline_at,
            "offered": request.offered,
            "answer": _answer_record(request.answer),
            "ask": {
                "request": call_request.request.hex(),
                "call_class": call_request.call_class,
                "class_name": call_request.class_name,
                "destination": call_request.destination,
                "number": call_request.number,
                "number_text": call_request.number_text,
                "patience_ms": call_request.patience_ms,
                "age_ms": call_request.age_ms,
                "width": call_request.width,
                "description": call_request.description.hex(),
                "first_epoch": call_request.first_epoch.hex(),
            },
        }
    for session in request_manager.sessions.by_device.values():
        for message in session.outbox.values():
            yield {
                "what": "item",
                "device": session.device,
                "key": message.index_key,
                "request": message.request_id.hex(),
                "answer": _answer_record(message.answer),
                "cause": message.cause,
                "until": message.expires_at,
                "worth": message.worth,
            }


class StateImporter:
    """Imports the records that another process exported, into a request manager that has no state yet."""

    def __init__(
        self, request_manager: RequestManager, address_validator: AddressValidator, keys: Keys
    ) -> None:
        self.request_manager = request_manager
        self.address_validator = address_validator
        self.keys = keys

    def import_record(self, record: StateRecord) -> None:
        """Imports one record; raises KeyError, TypeError or ValueError if it is malformed."""
        request_manager = self.request_manager
        match record["what"]:
            case "epoch":
                request_manager.epoch, self.address_validator.secret = (
                    bytes.fromhex(record["epoch"]),
                    bytes.fromhex(record["secret"]),
                )
            case "session":
                self._import_session(record)
            case "finished":
                request_manager.index.current[record["key"]] = _parse_answer(record["answer"])
            case "live":
                self._import_active_request(record)
            case "item":
                session = request_manager.sessions.by_device.get(record["device"])
                if session is not None:
                    answer = _parse_answer(record["answer"]) if record["answer"] is not None else None
                    message = OutboxMessage(
                        session,
                        record["key"],
                        bytes.fromhex(record["request"]),
                        answer,
                        record["cause"],
                        record["until"],
                        record["worth"],
                    )
                    session.outbox[(message.index_key, answer is not None)] = message
                    request_manager.sessions.update_idle(session)

    def finish(self) -> None:
        """Starts sending the imported messages, once all records have been imported."""
        for session in list(self.request_manager.sessions.by_device.values()):
            self.request_manager.on_path_validated(session)

    def _import_session(self, record: StateRecord) -> None:
        key = self.keys.find(record["device"], record["key_id"])
        session = (
            self.request_manager.sessions.get_or_create(record["device"], record["heard_at"])
            if key is not None
            else None
        )
        # A device whose key is no longer in the key file has to attach again, with another key.
        if session is None or key is None:
            return
        session.cid, session.key_id, session.hello_count = (
            bytes.fromhex(record["cid"]),
            record["key_id"],
            record["hello"],
        )
        session.last_sent_number = record["number"]
        session.last_received_at = record["heard_at"]
        if session.cid:
            session.key = derive_session_key(key, self.request_manager.epoch, session.cid)
            self.request_manager.sessions.by_cid[session.cid] = session
        session.replay_window, session.sip_replay_window = (
            ReplayWindow(highest, int(bitmap, 16)) for highest, bitmap in record["windows"]
        )
        for (
            transport,
            host,
            port,
            validated,
            bytes_received,
            bytes_sent,
            received_at,
            smoothed_ms,
            variation_ms,
        ) in record["paths"]:
            if transport in self.request_manager.transports:
                path = Path(transport, (host, port), received_at, validated)
                path.bytes_received = bytes_received
                path.bytes_sent = bytes_sent
                if smoothed_ms is not None:
                    path.rtt.smoothed_ms = smoothed_ms
                    path.rtt.variation_ms = variation_ms
                session.paths.append(path)

    def _import_active_request(self, record: StateRecord) -> None:
        session = self.request_manager.sessions.by_device.get(record["device"])
        if session is None:
            return
        fields: dict[str, Any] = dict(record["ask"])
        for name in ("request", "description", "first_epoch"):
            fields[name] = bytes.fromhex(fields[name])
        call_request = CallRequest(**fields)
        request = ActiveRequest(
            session,
            call_request,
            record["key"],
            call_request.content_digest,
            record["deadline"],
            record["offered"],
            _parse_answer(record["answer"]) if record["answer"] is not None else None,
        )
        self.request_manager.index.add(request.index_key, request)
        session.open_requests += 1
        self.request_manager.sessions.update_idle(session)
        if not request.offered:  # it was waiting for the release time of its call in an earlier epoch
            self.request_manager.schedule_offer(request)


def _path_values(path: Path) -> list[Any]:
    has_rtt_sample = not math.isnan(path.rtt.smoothed_ms)
    return [
        path.transport,
        path.address[0],
        path.address[1],
        path.validated,
        path.bytes_received,
        path.bytes_sent,
        path.last_received_at,
        path.rtt.smoothed_ms if has_rtt_sample else None,
        path.rtt.variation_ms if has_rtt_sample else None,
    ]


def _answer_record(answer: FinalAnswer | None) -> StateRecord | None:
    if answer is None:
        return None
    return {
        "content": answer.content_digest.hex(),
        "end": answer.result,
        "away_ms": answer.back_off_ms,
        "description": answer.description.hex(),
    }


def _parse_answer(record: StateRecord) -> FinalAnswer:
    return FinalAnswer(
        bytes.fromhex(record["content"]),
        record["end"],
        record["away_ms"],
        bytes.fromhex(record["description"]),
    )
