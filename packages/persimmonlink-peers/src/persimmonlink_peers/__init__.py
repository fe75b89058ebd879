"""Messages and gRPC service between nodes."""
