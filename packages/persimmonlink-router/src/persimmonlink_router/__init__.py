"""HTTP gateway that routes requests to backend servers and runs their stages."""
