"""Operator interfaces: the admin API, metrics and their export, the event log, and handover.

Handover passes calls and connections to a new process.
"""
