"""Measurements of the costs and gains of parts of the service, run by hand."""
