"""Reading requests and writing responses in HTTP/1.1."""
