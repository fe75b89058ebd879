"""Stand-ins for the external systems that persimmonlink talks to."""
