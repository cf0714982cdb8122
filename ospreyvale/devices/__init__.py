"""Devices on poor links: sessions that outlive an address, one call for one request, answers that arrive.  No I/O."""
