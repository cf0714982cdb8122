"""A minimal exchange that answers every set-up and releases each call after a second.

Listens on the addresses (HOST:PORT) given as arguments.
"""

from __future__ import annotations

import sys

from ospreyvale.protocol import isup
from ospreyvale.protocol.isup import Code, Message, Type
from ospreyvale.transport.connection import Link
from ospreyvale.transport.loop import Coroutine, Loop
from ospreyvale.transport.network import Network

HOLDING_TIME_MS = 1_000.0  # duration of a call


def serve(loop: Loop, connection: Link) -> Coroutine:
    """Serves one connection from a session controller until it closes."""
    reader = isup.Reader()

    def send(message_type: Type, call: int, parameters: dict[int, bytes]) -> None:
        connection.send(isup.encode(Message(message_type, call, parameters)))

    # The state of the circuit group: x0 is the number of free circuits, x1 its size.
    send(Type.GROUP, 0, {Code.REPORT: b"x0:30;x1:30"})
    while data := (yield from connection.receive()):
        for message in reader.feed(data):
            if message.type == Type.TEST:  # answered with cause 1: the exchange passes the test
                send(Type.TESTED, message.call, {Code.CAUSE: b"\x01", Code.REPORT: b"x0:30;x1:30"})
            elif message.type == Type.IAM:
                send(Type.ANM, message.call, {Code.DESCRIPTION: message.parameters[Code.DESCRIPTION]})
                loop.call_at(
                    loop.now + HOLDING_TIME_MS,
                    lambda call=message.call: send(  # type: ignore[misc]
                        Type.REL,
                        call,
                        {Code.CAUSE: b"\x10"},  # 16: normal call clearing
                    ),
                )


def main(addresses: list[str]) -> None:
    """Listens on the addresses and runs the event loop."""
    loop = Loop()
    network = Network(loop)
    for address in addresses:
        host, _, port = address.rpartition(":")
        network.listen((host, int(port)), lambda connection: serve(loop, connection), lambda: False)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1:])
