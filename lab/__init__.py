"""Simulated devices, impaired links and exchanges for tests and measurements; not part of the service."""
