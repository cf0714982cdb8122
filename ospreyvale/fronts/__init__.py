"""Interfaces for callers, devices and operators, and the draining of clients."""
