"""Interfaces of the external systems and their HTTP clients."""
