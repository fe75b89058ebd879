"""The daemon of persimmonlink, which runs on each entry VM."""
