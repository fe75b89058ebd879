"""What servers report of their load, and what it says of their next work."""
