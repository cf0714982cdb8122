"""The stages that a call passes: accept, admit, route, send, relay, finish."""
