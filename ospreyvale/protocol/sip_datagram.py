"""SIP in datagrams: one message each (RFC 3261, 18.3), the topmost Via, and response routing (RFC 3581)."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ospreyvale.protocol import sip
from ospreyvale.protocol.errors import ProtocolError

MAGIC_COOKIE = "z9hG4bK"
_VIA = re.compile(
    r"SIP\s*/\s*2\.0\s*/\s*([A-Z]+)\s+([^\s;,]+)\s*((?:;[^,]*)?)(.*)\Z", re.IGNORECASE | re.DOTALL
)


@dataclass(frozen=True, slots=True)
class Via:
    """The topmost Via of a message."""

    transport: str
    sent_by: str
    branch: str
    rport: bool
    rest: str  # its other parameters, and any Via values after it on the line


def parse_datagram(data: bytes) -> sip.Message:
    """Parses the message of a datagram; raises ProtocolError unless there is exactly one."""
    reader = sip.Reader()
    messages = list(reader.feed(data))
    if len(messages) != 1 or reader.has_partial_message:
        raise ProtocolError("a datagram is not one message")
    return messages[0]


def parse_via(message: sip.Message) -> Via:
    """Parses the topmost Via; raises ProtocolError unless its branch begins with RFC 3261's magic cookie."""
    match = _VIA.match(message.header("via"))
    if match is None:
        raise ProtocolError("the Via header is malformed")
    transport, sent_by, parameters, rest = match.groups()
    branch = ""
    rport = False
    other_parameters = []
    for parameter in filter(None, (part.strip() for part in parameters.split(";"))):
        name, _, value = parameter.partition("=")
        if name.lower() == "branch":
            branch = value
        elif name.lower() == "rport":
            rport = True
        else:
            other_parameters.append(parameter)
    if not branch.startswith(MAGIC_COOKIE) or not 8 <= len(branch) <= 80:
        raise ProtocolError("the Via branch does not conform to RFC 3261")
    return Via(
        transport.upper(), sent_by, branch, rport, "".join(f";{other}" for other in other_parameters) + rest
    )


def with_source_address(message: sip.Message, host: str, port: int) -> sip.Message:
    """Returns the message with its source address in the topmost Via, for its responses (RFC 3581, 4)."""
    via = parse_via(message)
    top_via = f"SIP/2.0/{via.transport} {via.sent_by};branch={via.branch}"
    if via.rport:
        top_via += f";received={host};rport={port}"
    headers = {**message.headers, "via": [top_via + via.rest, *message.headers["via"][1:]]}
    return sip.Message(message.method, message.uri, message.status, headers, message.body)


def with_to_tag(message: sip.Message, tag: str) -> sip.Message:
    """Returns the message with a tag in To, for responses other than 100 (RFC 3261, 8.2.6.2)."""
    to = message.header("to")
    if not to or ";tag=" in to:
        return message
    return sip.Message(
        message.method,
        message.uri,
        message.status,
        {**message.headers, "to": [f"{to};tag={tag}"]},
        message.body,
    )
