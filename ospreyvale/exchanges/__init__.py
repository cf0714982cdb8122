"""Lines to exchanges of both kinds, and the bus that lists them."""
