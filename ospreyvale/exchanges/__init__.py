"""Connections to exchanges over ISUP and M3UA, and the client of the discovery bus that lists them."""
