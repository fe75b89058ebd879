"""Moves the traffic of a service to another version of its servers' software."""
