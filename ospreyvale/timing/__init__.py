"""Time-outs, attempts and gaps by route and class: what bounds the module, proved when it is read.  No I/O."""
