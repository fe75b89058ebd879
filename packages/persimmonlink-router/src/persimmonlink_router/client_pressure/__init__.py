"""Bounds on the memory and the processor time that clients take together."""
