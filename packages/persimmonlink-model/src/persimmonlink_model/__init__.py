"""Aggregates and value types of persimmonlink, without I/O."""
