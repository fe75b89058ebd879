"""Routers as processes, stand-ins and clients for the cases of the review."""
