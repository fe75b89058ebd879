"""Commands of the `persimmonlink` program, one module each."""
