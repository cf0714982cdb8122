"""Pure codecs: bytes to values and back, no I/O."""
