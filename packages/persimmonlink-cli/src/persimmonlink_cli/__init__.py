"""Commands for operators and callers of persimmonlink."""
