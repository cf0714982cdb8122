"""Devices on poor links, without I/O: sessions that survive address changes, and one call per request.

Answers are acknowledged.
"""
