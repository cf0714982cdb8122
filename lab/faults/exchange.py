"""A stand-in for one exchange, which speaks the platform's binary messages and records attempts."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lab.faults.line import AnswerFault, FaultRates, FaultyLine
from lab.faults.path import DelayedLink
from lab.faults.record import Attempt, Record
from ospreyvale.protocol import isup
from ospreyvale.protocol.isup import Cause, Code, Message, Type
from ospreyvale.transport.connection import Connection, Link
from ospreyvale.transport.loop import Coroutine
from ospreyvale.transport.network import Address, ListeningSocket, Network

CIRCUITS = 40
MIN_RESPONSE_MS = 4.0
MAX_RESPONSE_MS = 80.0
MIN_HOLDING_TIME_MS = 250.0
MAX_HOLDING_TIME_MS = 420.0
# Ends that exchanges give to set-ups which they do not carry out, with their probabilities.
REFUSALS = {Cause.NO_CIRCUIT: 0.04, Cause.USER_BUSY: 0.01, Cause.TEMPORARY_FAILURE: 0.02}
CUT_PROBABILITY = 0.05  # of a standing call
CAUSE_OF_RETURNED_RELEASE = 31  # Q.850: normal, unspecified
SILENCE_PROBABILITY = 0.02  # of a set-up that is never answered
FAULTS_THAT_SPOIL = {AnswerFault.SPOILT, AnswerFault.CLOSED, AnswerFault.RESET}


@dataclass(slots=True, eq=False)
class StandingCall:
    """A call that stands at the exchange, and the connection of its set-up."""

    attempt: Attempt
    line: FaultyLine


class ExchangeStandIn:
    """One exchange, as one session controller reaches it.

    A call stands once the exchange has answered it, also if the answer is lost.  The release of a call is
    sent on the connection of its set-up or on any open one, and again on the next one that is opened.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        name: str,
        record: Record,
        rates: FaultRates,
        source: random.Random,
        one_way_ms: float = 0.0,
    ) -> None:
        self.network = network
        self.loop = network.loop
        self.address = address
        self.name = name
        self.record = record
        self.rates = rates
        self.source = source
        self.one_way_ms = one_way_ms  # of the path between the program and the exchange
        self.lines: list[FaultyLine] = []
        self.open_attempts: dict[tuple[int, int], tuple[Attempt, FaultyLine]] = {}
        self.standing: list[StandingCall] = []
        self.releases_for_next: list[Message] = []
        self.listener: ListeningSocket | None = None
        self.attempt_count = 0
        self.start()

    def start(self) -> None:
        """Accepts connections."""
        if self.listener is None:
            self.listener = self.network.listen(self.address, self._serve, lambda: False)

    def die(self) -> None:
        """Ends the process: its connections are reset, its calls are cut, and connections are refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.standing.clear()
        self.releases_for_next.clear()
        self.reset_lines()

    def refuse(self) -> None:
        """Refuses connections and resets those that are open; the exchange and its calls go on."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.reset_lines()

    def reset_lines(self) -> None:
        """Resets all connections, as a network does; the exchange and its calls go on."""
        for line in list(self.lines):
            line.reset()

    def hang(self, duration_ms: float) -> None:
        """Sends nothing on the present connections for a time."""
        for line in [line for line in self.lines if not line.mute]:
            line.mute = True
            self.loop.call_at(self.loop.now + duration_ms, lambda line=line: self._resume(line))  # type: ignore[misc]

    @staticmethod
    def _resume(line: FaultyLine) -> None:
        line.mute = False

    def _serve(self, connection: Link) -> Coroutine:
        link = connection
        if self.one_way_ms and isinstance(connection, Connection):
            link = DelayedLink(self.loop, connection, self.one_way_ms)
        line = FaultyLine(self.loop, link, self.rates, self.source)
        self.lines.append(line)
        self._report_group(line)
        self.releases_for_next = [release for release in self.releases_for_next if not line.send(release)]
        reader = isup.Reader()
        while data := (yield from link.receive()):
            for message in reader.feed(data):
                self._handle_message(line, message)
        self.lines.remove(line)
        link.close()
        for key, (attempt, owner) in list(self.open_attempts.items()):
            if owner is line:
                del self.open_attempts[key]
                attempt.finish(self.loop.now, "connection ended", in_doubt=True)

    def _handle_message(self, line: FaultyLine, message: Message) -> None:
        match message.type:
            case Type.TEST:
                line.send(Message(Type.TESTED, message.call, {Code.CAUSE: b"\x01"}))
            case Type.IAM:
                self._on_set_up(line, message)
            case Type.REL:
                self._on_release(line, message.call)

    def _on_set_up(self, line: FaultyLine, message: Message) -> None:
        attempt = self.record.arrive(message.call, self.name, self.loop.now)
        self.attempt_count += 1
        key = message.call, self.attempt_count
        self.open_attempts[key] = attempt, line
        self._report_group(line)
        if self.source.random() >= SILENCE_PROBABILITY:
            description = message.parameters[Code.DESCRIPTION]
            delay_ms = self.source.uniform(MIN_RESPONSE_MS, MAX_RESPONSE_MS)
            self.loop.call_at(self.loop.now + delay_ms, lambda: self._respond(key, description))

    def _respond(self, key: tuple[int, int], description: bytes) -> None:
        attempt, line = self.open_attempts.get(key, (None, None))
        if attempt is None or line is None:
            return  # it was given up
        draw = self.source.random()
        for cause, probability in REFUSALS.items():
            draw -= probability
            if draw < 0.0:
                if line.send(Message(Type.REL, attempt.call, {Code.CAUSE: bytes([cause])})):
                    del self.open_attempts[key]
                    in_doubt = cause is Cause.TEMPORARY_FAILURE
                    attempt.finish(self.loop.now, f"cause {int(cause)}", in_doubt)
                return
        self._answer(key, attempt, line, description)

    def _answer(self, key: tuple[int, int], attempt: Attempt, line: FaultyLine, description: bytes) -> None:
        call = StandingCall(attempt, line)
        fault = line.send_answer(Message(Type.ANM, attempt.call, {Code.DESCRIPTION: description}))
        if fault is None:
            return  # hung: the attempt stays out until it is given up
        self.standing.append(call)
        attempt.answered = fault not in FAULTS_THAT_SPOIL and fault is not AnswerFault.STALLED
        if fault is not AnswerFault.STALLED:
            self.open_attempts.pop(key, None)
            attempt.finish(self.loop.now, f"answer {fault.value}", fault in FAULTS_THAT_SPOIL)
        holding_time_ms = self.source.uniform(MIN_HOLDING_TIME_MS, MAX_HOLDING_TIME_MS)
        self.loop.call_at(self.loop.now + holding_time_ms, lambda: self._end_call(call))

    def _end_call(self, call: StandingCall) -> None:
        """Releases a standing call toward the program."""
        if call not in self.standing:
            return
        self.standing.remove(call)
        cause = Cause.TEMPORARY_FAILURE if self.source.random() < CUT_PROBABILITY else Cause.NORMAL
        release = Message(Type.REL, call.attempt.call, {Code.CAUSE: bytes([cause])})
        self.releases_for_next.append(release)
        candidates = [call.line, *self.lines] if call.line in self.lines else list(self.lines)
        for line in candidates:
            if line.send(release):
                call.attempt.released_at = self.loop.now
                break

    def _on_release(self, line: FaultyLine, call: int) -> None:
        """Ends whatever the call has here: an open attempt is given up, a standing call is cut.

        A call that stood is released in return.
        """
        for key, (attempt, _) in list(self.open_attempts.items()):
            if attempt.call == call:
                del self.open_attempts[key]
                attempt.finish(self.loop.now, "given up", in_doubt=True)
        for standing in [standing for standing in self.standing if standing.attempt.call == call]:
            self.standing.remove(standing)
            line.send(Message(Type.REL, call, {Code.CAUSE: bytes([CAUSE_OF_RETURNED_RELEASE])}))

    def _report_group(self, line: FaultyLine) -> None:
        free = CIRCUITS - len(self.standing) - len(self.open_attempts)
        report = f"x0:{max(0, free)};x1:{CIRCUITS}".encode()
        line.send(Message(Type.GROUP, 0, {Code.REPORT: report}))
