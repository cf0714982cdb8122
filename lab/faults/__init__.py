"""Fault injection against the real program: stand-in peers on loopback, faults by seed, a checker."""
