"""Time limits, attempts and gaps of set-ups by route and call class, without I/O.

A policy is checked when it is read.
"""
